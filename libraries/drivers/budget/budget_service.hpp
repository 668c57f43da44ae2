#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/budget/router_ledger.hpp"
#include "libraries/drivers/budget/batch_committer.hpp"
#include "libraries/drivers/budget/bill_replicator.hpp"
#include "libraries/drivers/budget/claim_service.hpp"
#include "libraries/drivers/budget/store_committer.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace turmeric::drivers
{

/// Settings of `budget_service`.
struct budget_settings
{
    domain::router_ledger_settings ledger;
    domain::rate_share_settings grants;
    store_committer_settings committer;
    claim_settings claims;
    /// The minimum time from one reply to the next batch of a shard. It should
    /// be a little less than the committer's write interval.
    std::chrono::milliseconds commit_interval{80};
    /// How long one commit may take before it counts as failed and its shard
    /// backs off.
    std::chrono::milliseconds commit_timeout{5000};
    /// How long a settlement waits for the platform before the bill is copied
    /// to another process, if there is a replicator.
    std::chrono::milliseconds replicate_after{500};
    std::chrono::milliseconds min_backoff{50};
    std::chrono::milliseconds max_backoff{3000};
    /// Number of threads that block in commits; each commits one batch at a
    /// time.
    std::int32_t commit_threads = 4;
};

/// The dependencies of the service. Precondition: all of them outlive it.
struct budget_ports
{
    ports::key_value_store& store;
    const ports::clock& clock;
    ports::random_source& random;
    logger& log;
    /// Commits the batches; with nullptr the service writes them to the store
    /// itself.
    batch_committer* committer = nullptr;
    /// Copies bills during an outage; with nullptr none are copied.
    bill_replicator* replicator = nullptr;
};

/// Tokens reserved for one request.
struct hold
{
    domain::hold_id id = 0;
    std::int32_t shard = 0;
};

/// Counts of the service, for metrics.
struct budget_counts
{
    domain::ledger_counts ledger;
    committer_counts committer;
    std::int64_t placed_holds = 0;
    /// Holds refused with `budget_exhausted`.
    std::int64_t exhausted_holds = 0;
    /// Holds refused with any other error.
    std::int64_t unavailable_holds = 0;
    std::int64_t bills = 0;
    std::int64_t duplicate_bills = 0;
    std::int64_t refused_bills = 0;
    /// Settlements that ended with neither a receipt nor a copy of the bill.
    std::int64_t undurable_bills = 0;
    /// Settlements that succeeded with a copy of the bill only.
    std::int64_t replicated_bills = 0;
    std::int64_t failed_commits = 0;
    domain::tokens billed_tokens = 0;
};

/// Spends from budgets on behalf of one router incarnation: places holds,
/// settles bills and makes claims. Owns the ledger and the threads that commit
/// its batches. Thread safe; callers block in it.
class budget_service
{
public:
    /// Starts the threads. Precondition: `incarnation` was never used before.
    budget_service(const budget_ports& ports, const budget_settings& settings,
                   std::string incarnation);
    budget_service(const budget_service&) = delete;
    budget_service& operator=(const budget_service&) = delete;

    /// Stops the threads. Tokens that `drain` did not return to the store stay
    /// granted to the incarnation.
    ~budget_service();

    /// Reserves tokens. Waits for a grant until `deadline` if necessary. A
    /// failure has the effect `not_run`. Thread safe; blocks.
    ///
    /// Errors: `budget_exhausted`, `grant_unavailable`, `grant_expired`,
    /// `ledger_full`, `request_id_reused`, `duplicate_request`,
    /// `router_stopping`, `amount_overflow`.
    result<hold> acquire(const domain::hold_request& request,
                         ports::steady_time deadline);

    /// Bills `used` tokens, at most the hold's upper bound. Returns success
    /// when the bill is durable, or when only a copy of it is stored in another
    /// process; `is_replicated` is set in that case. The final part of a
    /// response may be sent only after success. After `bill_undurable` the bill
    /// is still committed when the platform is available again. Thread safe;
    /// blocks until `deadline` at most.
    ///
    /// Errors: `bill_undurable`, `grant_expired` when this incarnation was
    /// closed, `request_id_reused`, `ledger_full`, `invalid_field`.
    result<domain::bill_receipt> settle(const hold& held, domain::tokens used,
                                        ports::steady_time deadline);

    /// Releases the hold without a bill, because nothing was dispatched or
    /// nothing is to be billed. Thread safe.
    void release(const hold& held);

    /// Makes the durable claim of a non-idempotent request; see
    /// `claim_service::claim`. Thread safe; blocks.
    status claim(const std::string& account, const std::string& request_id,
                 ports::steady_time deadline);

    /// Refuses further holds, waits until the open ones are settled, commits
    /// the bills and returns all grants to the store. Thread safe; blocks until
    /// `deadline` at most.
    ///
    /// Errors: `deadline_exceeded`; the drain continues in the background.
    status drain(ports::steady_time deadline);

    /// Returns the committer that writes to the store. It may also commit the
    /// batches of other processes. Thread safe.
    [[nodiscard]] store_committer& local_committer();

    /// Returns the counts so far. Thread safe.
    [[nodiscard]] budget_counts counters() const;

private:
    struct commit_schedule
    {
        ports::steady_time next_commit_at;
        std::int32_t failures = 0;
    };

    void run();
    std::optional<std::int32_t> next_due_shard();
    void commit_next_batch(std::int32_t shard,
                           std::unique_lock<std::mutex>& lock);
    void on_commit_reply(std::int32_t shard, const domain::batch_reply& reply);
    void on_commit_failure(std::int32_t shard, const error& failure);
    void log_fencing_once();
    static result<domain::bill_receipt>
    settlement_result(const domain::bill_receipt& receipt);
    std::optional<domain::bill_receipt>
    wait_for_receipt(domain::hold_id id, ports::steady_time until,
                     std::unique_lock<std::mutex>& lock);
    bool replicate_bill(const domain::pending_bill& bill,
                        ports::steady_time deadline,
                        std::unique_lock<std::mutex>& lock);
    [[nodiscard]] domain::ledger_time now() const;

    budget_ports m_ports;
    budget_settings m_settings;
    std::string m_incarnation;
    domain::rate_share_policy m_policy;
    store_committer m_local_committer;
    batch_committer& m_committer;
    claim_service m_claims;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_work_available;
    domain::router_ledger m_ledger;
    std::map<std::int32_t, commit_schedule> m_schedules;
    /// The receipts that threads in `settle` wait for; each is empty until its
    /// bill is committed.
    std::map<domain::hold_id, std::optional<domain::bill_receipt>> m_receipts;
    budget_counts m_counts;
    bool m_is_stopping = false;
    bool m_has_delayed_shard = false;
    bool m_is_fencing_logged = false;
    std::vector<std::thread> m_threads;
};

} // namespace turmeric::drivers
