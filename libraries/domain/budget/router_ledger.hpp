#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/budget_shard.hpp"
#include "libraries/domain/budget/grant_policy.hpp"
#include "libraries/domain/budget/router_batch.hpp"
#include "libraries/domain/budget/spend_rate.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// Names a hold within one incarnation; 0 names none.
using hold_id = std::uint64_t;

/// Asks to reserve tokens before a request is dispatched.
struct hold_request
{
    std::string account;
    std::string budget;
    std::string request_id;
    std::uint32_t body_digest = 0;
    /// The most that the request can use.
    tokens upper_bound = 0;
};

/// Both times at one moment, passed in by the caller.
struct ledger_time
{
    ports::steady_time steady;
    ports::system_time system;
};

/// What became of a hold's bill.
struct bill_receipt
{
    hold_id hold = 0;
    std::uint64_t key = 0;
    bill_state state = bill_state::refused;
    /// Tokens on record for the request.
    tokens billed = 0;
    /// The request was billed before and not charged again.
    bool is_duplicate = false;
    /// Not durable yet; a copy is kept outside this process.
    bool is_replicated = false;
};

/// Settings of `router_ledger`.
struct router_ledger_settings
{
    std::int32_t shard_count = 64;
    /// How long grants may be spent without the platform.
    std::chrono::seconds grant_term{std::chrono::minutes(75)};
    /// Subtracted from the term here, so that a router stops before a
    /// controller with another clock counts the term as over.
    std::chrono::seconds clock_skew{30};
    /// Grants unused for this long are read again or given back.
    std::chrono::seconds refresh_interval{5};
    /// How long a reading proves that a budget is exhausted.
    std::chrono::milliseconds max_snapshot_age{1000};
    /// Averaging time of spend rates.
    std::chrono::seconds rate_window{120};
    std::size_t holds = 20'000;
    std::size_t budgets = 20'000;
    std::size_t waiting_per_budget = 256;
    std::size_t pending_bills = 50'000;
    std::size_t bills_per_batch = 2'000;
    std::size_t updates_per_batch = 500;
};

/// Counts of a ledger, for metrics.
struct ledger_counts
{
    std::size_t holds = 0;
    std::size_t waiting = 0;
    std::size_t pending_bills = 0;
    std::size_t budgets = 0;
    tokens granted = 0;
    tokens held = 0;
    /// Tokens of the pending bills.
    tokens unsettled = 0;
    bool is_fenced = false;
};

/// One incarnation's grants, holds and bills. Spends only what the shards
/// granted; keeps at most one batch in flight for each shard. Pure state: no
/// clock, no call. Not thread safe.
class router_ledger
{
public:
    /// Precondition: `incarnation` was never used before; `policy` outlives
    /// the ledger.
    router_ledger(const router_ledger_settings& settings,
                  std::string incarnation, const grant_policy& policy);

    /// Reserves the upper bound, or says why not. `grant_unavailable` leaves
    /// the request waiting: its need goes out with the next batch, and the
    /// caller asks again after replies or calls `cancel_wait`. Not thread
    /// safe.
    ///
    /// Errors: `budget_exhausted`, `grant_unavailable`, `grant_expired`,
    /// `ledger_full`, `request_id_reused`, `duplicate_request`,
    /// `amount_overflow`.
    result<hold_id> place_hold(const hold_request& request, ledger_time now);

    /// Stops waiting for the request's tokens and returns why they were not
    /// granted: `budget_exhausted` when a reading taken since then shows too
    /// few, else `grant_expired` or `grant_unavailable`. Not thread safe.
    error cancel_wait(const hold_request& request, ledger_time now);

    /// Turns the hold into a bill over `used` tokens, at most its bound, and
    /// returns the bill. The receipt comes from `on_reply`. Not thread safe.
    ///
    /// Errors: `ledger_full`, `invalid_field` for an unknown hold.
    result<pending_bill> settle(hold_id hold, tokens used, ledger_time now);

    /// Notes that the answer of a settled hold was released on the strength
    /// of a copy of its bill, so that the bill is charged however late. Not
    /// thread safe.
    void mark_delivered(std::int32_t shard, hold_id hold);

    /// Frees the hold: nothing ran. Not thread safe.
    void release(hold_id hold);

    /// Returns the shards that have something to commit and no batch in
    /// flight. Not thread safe.
    [[nodiscard]] std::vector<std::int32_t> due_shards(ledger_time now);

    /// Returns the shard's next batch, or the same batch again when its
    /// outcome is not known. The batch is in flight until `on_reply` or
    /// `on_unresolved`. Not thread safe.
    std::optional<router_batch> next_batch(std::int32_t shard, ledger_time now);

    /// Takes the outcome of the batch in flight and returns the receipts of
    /// its bills. Not thread safe.
    std::vector<bill_receipt> on_reply(std::int32_t shard,
                                       const batch_reply& reply);

    /// The batch in flight may or may not have taken effect; `plan` gives it
    /// again. Not thread safe.
    void on_unresolved(std::int32_t shard);

    /// Gives all free tokens back with the next batches and takes no more
    /// holds; once no hold is open the shards are left. Not thread safe.
    void start_drain();

    /// Tells whether nothing is left to commit after `start_drain`. Not
    /// thread safe.
    [[nodiscard]] bool is_drained() const;

    /// Tells whether some shard closed or froze this incarnation. Not thread
    /// safe.
    [[nodiscard]] bool is_fenced() const;

    /// Returns the counts. Not thread safe.
    [[nodiscard]] ledger_counts counts() const;

    /// Returns the shard of an account. Not thread safe.
    [[nodiscard]] std::int32_t shard_for(const std::string& account) const;

private:
    struct waiting_request
    {
        std::uint64_t key = 0;
        tokens bound = 0;
        ports::steady_time since;
    };

    struct budget_state
    {
        explicit budget_state(std::chrono::seconds window)
            : rate(window)
        {
        }

        std::int32_t shard = 0;
        tokens granted = 0;
        tokens held = 0;
        /// Tokens of the bills that are not durable yet, and their number.
        tokens unsettled = 0;
        std::size_t bills = 0;
        std::deque<waiting_request> waiting;
        spend_rate rate;
        std::optional<budget_snapshot> snapshot;
        ports::steady_time snapshot_at;
        bool is_dirty = false;
        /// The shard was told that nothing is spent any more.
        bool is_zero_rate_reported = true;
    };

    struct open_hold
    {
        std::string budget;
        std::uint64_t key = 0;
        std::uint32_t body_digest = 0;
        tokens bound = 0;
    };

    struct queued_bill
    {
        hold_id hold = 0;
        pending_bill bill;
    };

    struct shard_state
    {
        std::int64_t operation = 0;
        std::optional<router_batch> batch;
        /// Holds of the bills in the batch, in its order.
        std::vector<hold_id> batch_holds;
        ports::steady_time batch_created_at;
        bool is_in_flight = false;
        bool has_left = false;
        ports::steady_time spendable_until;
        ports::steady_time refreshed_at;
        std::deque<queued_bill> bills;
        std::set<std::string> budgets;
        bool is_dirty = false;
    };

    [[nodiscard]] static tokens free_tokens_of(const budget_state& budget);
    [[nodiscard]] static tokens
    tokens_waiting_before(const budget_state& budget, std::uint64_t key);
    [[nodiscard]] status check_request(const hold_request& request,
                                       std::uint64_t key) const;
    result<budget_state*> find_or_add_budget(const hold_request& request,
                                             const std::string& key);
    error queue_for_grant(budget_state& budget, const hold_request& request,
                          std::uint64_t key, ledger_time now);
    hold_id create_hold(budget_state& budget, const hold_request& request,
                        const std::string& name, std::uint64_t key);
    [[nodiscard]] static bool is_exhausted(const budget_state& budget,
                                           tokens bound,
                                           ports::steady_time since);
    [[nodiscard]] bool is_expired(const budget_state& budget,
                                  ledger_time now) const;
    [[nodiscard]] bool is_due(const shard_state& shard, ledger_time now) const;
    void create_batch(shard_state& shard, ledger_time now);
    void add_bills(shard_state& shard, router_batch& batch);
    void add_updates(shard_state& shard, router_batch& batch, ledger_time now);
    budget_update make_update(const std::string& name, budget_state& budget,
                              ledger_time now) const;
    [[nodiscard]] bool must_return_all(const budget_state& budget) const;
    [[nodiscard]] std::vector<tokens>
    needs_of(const budget_state& budget) const;
    void restore_rejected_batch(shard_state& shard);
    [[nodiscard]] bool can_leave(const shard_state& shard) const;
    [[nodiscard]] tokens surplus_of(const budget_state& budget,
                                    tokens rate) const;
    void apply_snapshots(shard_state& shard, const batch_reply& reply);
    std::vector<bill_receipt> collect_receipts(shard_state& shard,
                                               const batch_reply& reply);
    void mark_dirty(budget_state& budget);
    void remove_idle_budgets(shard_state& shard);

    router_ledger_settings m_settings;
    std::string m_incarnation;
    const grant_policy& m_policy;
    std::unordered_map<std::string, budget_state> m_budgets;
    std::unordered_map<hold_id, open_hold> m_holds;
    /// Bill keys in flight here, with their body digests.
    std::unordered_map<std::uint64_t, std::uint32_t> m_in_flight_keys;
    std::map<std::int32_t, shard_state> m_shards;
    hold_id m_next_hold = 1;
    std::size_t m_pending_bills = 0;
    std::size_t m_waiting_requests = 0;
    bool m_is_draining = false;
    bool m_is_fenced = false;
};

} // namespace turmeric::domain
