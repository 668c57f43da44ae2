#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

using std::chrono::sys_seconds;

/// Whether an incarnation can still be granted tokens.
enum class grant_state : std::uint8_t
{
    active,
    /// Late bills are still settled, but no more tokens are granted.
    frozen,
};

/// Returns the name used in logs. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(grant_state state)
{
    return state == grant_state::active ? "active" : "frozen";
}

/// One router process in one shard, from its first batch until it leaves or is
/// closed.
struct incarnation_record
{
    std::string name;
    /// Short id of the incarnation within the shard; grants and bills refer
    /// to it.
    std::int32_t slot = 0;
    /// Operation number of the last batch that took effect.
    std::int64_t last_operation = 0;
    /// When the term of its grants ends.
    sys_seconds term_end{};
    grant_state state = grant_state::active;
    sys_seconds frozen_at{};
};

/// Tokens that one incarnation was granted from one budget, and the part of
/// them that it settled.
struct grant_record
{
    std::int32_t slot = 0;
    /// All tokens granted so far, less those that were returned.
    tokens granted = 0;
    tokens settled = 0;
    /// Spend rate in tokens per minute, as the incarnation reports it.
    tokens rate = 0;
};

/// Tokens added to a budget under an id that the operator chose.
struct top_up_record
{
    std::string id;
    tokens amount = 0;
    sys_seconds applied_at{};
};

/// The account of one prepaid budget.
struct budget_account
{
    std::vector<top_up_record> top_ups;
    /// Sum of the top-ups that are older than the top-up window and have no
    /// record any more.
    tokens older_top_ups = 0;
    /// Tokens settled under grants that have no record any more.
    tokens settled_by_removed_grants = 0;
    std::vector<grant_record> grants;
    /// Until this time every incarnation returns the tokens that are not
    /// reserved by its holds.
    sys_seconds recalled_until{};
};

/// One durable bill, recorded at least for the retry window.
struct bill_record
{
    /// Digest of the client account and the request id.
    std::uint64_t key = 0;
    std::uint32_t body_digest = 0;
    tokens used = 0;
    /// Slot of the incarnation that settled it.
    std::int32_t slot = 0;
};

/// The bills that became durable in one second.
struct bill_page
{
    sys_seconds durable_at{};
    std::vector<bill_record> bills;
};

/// The value of one key `budgets/NNN`: all budgets of the client accounts that
/// map to the shard. A plain value; not thread safe.
struct budget_shard
{
    /// Keyed by "account/budget".
    std::map<std::string, budget_account> budgets;
    std::vector<incarnation_record> incarnations;
    /// Oldest first.
    std::vector<bill_page> bill_pages;
    /// Slot of the next incarnation that registers.
    std::int32_t next_slot = 0;
};

/// Size limits of a shard and the retention periods of its records.
struct shard_limits
{
    /// Minimum time for which a bill is kept, so that a repeated request id is
    /// recognised as a duplicate.
    std::chrono::seconds retry_window{120};
    /// Maximum time for which a bill is kept. Bills older than `retry_window`
    /// are removed earlier while the shard has more than
    /// `bill_trim_threshold` bills.
    std::chrono::seconds max_retry_window{std::chrono::hours(1)};
    std::size_t bill_trim_threshold = 2'000;
    /// A bill whose response was not delivered is not charged when it arrives
    /// later than this after its hold was settled: a bill of a repeat of the
    /// request, settled by another router, could already be removed. Shorter
    /// than the retry window by the clock skew.
    std::chrono::seconds max_undelivered_bill_age{90};
    /// How long the record of a top-up is kept, so that a repeated id is
    /// recognised as a duplicate.
    std::chrono::seconds top_up_window{std::chrono::hours(24 * 30)};
    /// How long unused tokens are recalled after a need could not be met.
    std::chrono::seconds recall_time{5};
    // A shard that reaches all of these limits stays under a megabyte.
    std::size_t budgets = 1'024;
    std::size_t top_ups_per_budget = 256;
    /// Top-ups recorded in the entire shard.
    std::size_t top_ups = 2'000;
    std::size_t incarnations = 512;
    std::size_t grants = 10'000;
    std::size_t bills = 18'000;
};

/// Returns the shard of the client account. Precondition: `shard_count` is
/// positive. Thread safe.
[[nodiscard]] std::int32_t shard_of(std::string_view account,
                                    std::int32_t shard_count);

/// Returns the key of a budget within its shard. Thread safe.
[[nodiscard]] std::string budget_key(std::string_view account,
                                     std::string_view budget);

/// Returns the digest that identifies the bill of a request. Thread safe.
[[nodiscard]] std::uint64_t bill_key(std::string_view account,
                                     std::string_view request_id);

/// Returns the sum of all top-ups of the budget. Thread safe.
[[nodiscard]] tokens total_top_ups_of(const budget_account& account);

/// Returns all tokens settled so far. Thread safe.
[[nodiscard]] tokens settled_of(const budget_account& account);

/// Returns the tokens granted and not yet settled. Thread safe.
[[nodiscard]] tokens outstanding_of(const budget_account& account);

/// Returns the tokens that can still be granted. Thread safe.
[[nodiscard]] tokens pool_of(const budget_account& account);

/// Returns whether the settled and outstanding tokens of each budget are
/// within its top-ups, and no grant is overdrawn. Thread safe.
[[nodiscard]] bool is_consistent(const budget_shard& shard);

/// Returns the record of `name`, or nullptr. Thread safe.
[[nodiscard]] incarnation_record* find_incarnation(budget_shard& shard,
                                                   std::string_view name);

/// Returns the grant of `slot`, or nullptr. Thread safe.
[[nodiscard]] grant_record* find_grant(budget_account& account,
                                       std::int32_t slot);

} // namespace turmeric::domain
