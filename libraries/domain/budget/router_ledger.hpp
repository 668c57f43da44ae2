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

/// Identifies a hold within one incarnation; 0 means no hold.
using hold_id = std::uint64_t;

/// A request to reserve tokens, made before the caller's request is
/// dispatched.
struct hold_request
{
    std::string account;
    std::string budget;
    std::string request_id;
    std::uint32_t body_digest = 0;
    /// The most tokens that the request can use.
    tokens upper_bound = 0;
};

/// The steady and the system time at one moment, passed in by the caller.
struct ledger_time
{
    ports::steady_time steady;
    ports::system_time system;
};

/// The result of the bill of a hold.
struct bill_receipt
{
    hold_id hold = 0;
    std::uint64_t key = 0;
    bill_state state = bill_state::refused;
    /// Tokens recorded for the request.
    tokens billed = 0;
    /// The request was already billed and is not charged again.
    bool is_duplicate = false;
    /// The bill is not durable yet, but a copy is kept outside this process.
    bool is_replicated = false;
};

/// Settings of `router_ledger`.
struct router_ledger_settings
{
    std::int32_t shard_count = 64;
    /// How long grants may be spent while the platform is unavailable.
    std::chrono::seconds grant_term{std::chrono::minutes(75)};
    /// Subtracted from the term, so that a router stops spending before a
    /// controller whose clock differs considers the term over.
    std::chrono::seconds clock_skew{30};
    /// How often all budgets of a shard are included in a batch, so that their
    /// snapshots are renewed and unused tokens are returned.
    std::chrono::seconds refresh_interval{5};
    /// Maximum age of a snapshot on which a request that has not waited is
    /// refused because the budget is exhausted.
    std::chrono::milliseconds max_snapshot_age{1000};
    /// Averaging period of spend rates.
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
    /// Outstanding tokens: granted and not settled durably.
    tokens granted = 0;
    /// Tokens reserved by open holds.
    tokens held = 0;
    /// Tokens of the pending bills.
    tokens unsettled = 0;
    bool is_fenced = false;
};

/// The grants, holds and bills of one incarnation. Spends only tokens that the
/// shards granted, and has at most one batch in flight for each shard. Reads no
/// clock and makes no calls: the caller passes in the time and sends the
/// batches. Not thread safe.
class router_ledger
{
public:
    /// Precondition: `incarnation` was never used before; `policy` outlives
    /// the ledger.
    router_ledger(const router_ledger_settings& settings,
                  std::string incarnation, const grant_policy& policy);

    /// Reserves the upper bound, or returns why this is not possible. After
    /// `grant_unavailable`, and after `grant_expired` unless `is_fenced()`, the
    /// request waits: its need is part of the next batch. The caller repeats
    /// the call after replies, or calls `cancel_wait`. Not thread safe.
    ///
    /// Errors: `budget_exhausted`, `grant_unavailable`, `grant_expired`,
    /// `ledger_full`, `request_id_reused`, `duplicate_request`,
    /// `amount_overflow`, `router_stopping`.
    result<hold_id> place_hold(const hold_request& request, ledger_time now);

    /// Stops waiting for the request's tokens and returns why they were not
    /// granted: `budget_exhausted` if a snapshot taken since the request was
    /// queued shows too few tokens, otherwise `grant_expired` or
    /// `grant_unavailable`. Not thread safe.
    error cancel_wait(const hold_request& request, ledger_time now);

    /// Ends the hold and returns the bill for `used` tokens, limited to the
    /// hold's bound. `on_reply` returns the receipt of the bill. Not thread
    /// safe.
    ///
    /// Errors: `ledger_full`, `invalid_field` for an unknown hold.
    result<pending_bill> settle(hold_id hold, tokens used, ledger_time now);

    /// Records that the response of a settled hold was delivered because a copy
    /// of its bill is kept elsewhere, so that the bill is charged however late
    /// it is committed. Not thread safe.
    void mark_delivered(std::int32_t shard, hold_id hold);

    /// Releases the hold of a request that did not run, without a bill. Not
    /// thread safe.
    void release(hold_id hold);

    /// Returns the shards that have updates or bills to commit and no batch in
    /// flight. Not thread safe.
    [[nodiscard]] std::vector<std::int32_t> due_shards(ledger_time now);

    /// Returns the shard's next batch, or the same batch again if its outcome
    /// is unknown; empty if none is due. The batch is in flight until
    /// `on_reply` or `on_unresolved`. Not thread safe.
    std::optional<router_batch> next_batch(std::int32_t shard, ledger_time now);

    /// Applies the outcome of the batch in flight and returns the receipts of
    /// its bills. Not thread safe.
    std::vector<bill_receipt> on_reply(std::int32_t shard,
                                       const batch_reply& reply);

    /// Reports that the batch in flight may or may not have taken effect;
    /// `next_batch` returns it again. Not thread safe.
    void on_unresolved(std::int32_t shard);

    /// Starts to drain: no more holds are placed, the needs of waiting requests
    /// are dropped, and the next batches return all free tokens. Once no hold
    /// is open, the incarnation leaves its shards. Not thread safe.
    void start_drain();

    /// Returns whether nothing is left to commit after `start_drain`. Not
    /// thread safe.
    [[nodiscard]] bool is_drained() const;

    /// Returns whether a shard closed or froze this incarnation. Not thread
    /// safe.
    [[nodiscard]] bool is_fenced() const;

    /// Returns the counts. Not thread safe.
    [[nodiscard]] ledger_counts counts() const;

    /// Returns the shard of a client account. Not thread safe.
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
        /// Outstanding tokens: granted and not settled durably.
        tokens granted = 0;
        tokens held = 0;
        /// Tokens of the pending bills.
        tokens unsettled = 0;
        std::size_t pending_bills = 0;
        std::deque<waiting_request> waiting;
        spend_rate rate;
        std::optional<budget_snapshot> snapshot;
        ports::steady_time snapshot_at;
        bool is_dirty = false;
        /// The last update reported a spend rate of 0.
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
        /// Holds of the bills in the batch, in the same order.
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
    /// Bill keys of the requests in flight here, with their body digests.
    std::unordered_map<std::uint64_t, std::uint32_t> m_in_flight_keys;
    std::map<std::int32_t, shard_state> m_shards;
    hold_id m_next_hold = 1;
    std::size_t m_pending_bills = 0;
    std::size_t m_waiting_requests = 0;
    bool m_is_draining = false;
    bool m_is_fenced = false;
};

} // namespace turmeric::domain
