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

/// Whether an incarnation may still be granted tokens.
enum class grant_state : std::uint8_t
{
    active,
    /// Late bills still settle; nothing more is granted.
    frozen,
};

/// Returns the name used in logs. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(grant_state state)
{
    return state == grant_state::active ? "active" : "frozen";
}

/// One router process in one shard, from its first commit to its close.
struct incarnation_record
{
    std::string name;
    /// Names the record within the shard in a few characters.
    std::int32_t slot = 0;
    /// The number of the last batch that took effect.
    std::int64_t last_operation = 0;
    sys_seconds term_end{};
    grant_state state = grant_state::active;
    sys_seconds frozen_at{};
};

/// What one incarnation was granted from one budget and settled.
struct grant_record
{
    std::int32_t slot = 0;
    /// Cumulative, less what was given back.
    tokens granted = 0;
    tokens settled = 0;
    /// Spend rate in tokens per minute, as the incarnation reports it.
    tokens rate = 0;
};

/// Tokens bought for a budget under an operator's id.
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
    /// Sum of top-ups older than the top-up window.
    tokens older_top_ups = 0;
    /// Settled by incarnations that no longer have a record here.
    tokens settled_by_removed_grants = 0;
    std::vector<grant_record> grants;
    /// Until then every incarnation gives back what it does not hold.
    sys_seconds recalled_until{};
};

/// One bill within the retry window.
struct bill_record
{
    /// Digest of the client account and the request id.
    std::uint64_t key = 0;
    std::uint32_t body_digest = 0;
    tokens used = 0;
    /// The incarnation that settled it.
    std::int32_t slot = 0;
};

/// The bills that became durable in one second.
struct bill_page
{
    sys_seconds durable_at{};
    std::vector<bill_record> bills;
};

/// The value of one key `budgets/NNN`: every budget whose client account
/// falls into the shard. A plain value; not thread safe.
struct budget_shard
{
    /// By "account/budget".
    std::map<std::string, budget_account> budgets;
    std::vector<incarnation_record> incarnations;
    /// Oldest first.
    std::vector<bill_page> bill_pages;
    std::int32_t next_slot = 0;
};

/// Bounds of a shard and how long it remembers.
struct shard_limits
{
    /// How long a repeated request id is found to be a duplicate, at least.
    std::chrono::seconds retry_window{120};
    /// The same, at most, while fewer than `bill_trim_threshold` are
    /// remembered.
    std::chrono::seconds max_retry_window{std::chrono::hours(1)};
    std::size_t bill_trim_threshold = 2'000;
    /// An undelivered bill that arrives later than this after its hold was
    /// settled is not charged: a repeat of its request elsewhere could be
    /// forgotten already. Shorter than the retry window by the clocks' skew.
    std::chrono::seconds max_undelivered_bill_age{90};
    /// How long a repeated top-up id is found to be a duplicate.
    std::chrono::seconds top_up_window{std::chrono::hours(24 * 30)};
    std::chrono::seconds recall_time{5};
    // A shard with all bounds reached stays under a megabyte.
    std::size_t budgets = 1'024;
    std::size_t top_ups_per_budget = 256;
    /// Top-ups remembered in the whole shard.
    std::size_t top_ups = 2'000;
    std::size_t incarnations = 512;
    std::size_t grants = 10'000;
    std::size_t bills = 18'000;
};

/// Returns the shard of `account`. Precondition: `shard_count` is positive.
/// Thread safe.
[[nodiscard]] std::int32_t shard_of(std::string_view account,
                                    std::int32_t shard_count);

/// Returns the name of a budget within its shard. Thread safe.
[[nodiscard]] std::string budget_key(std::string_view account,
                                     std::string_view budget);

/// Returns the digest that names a bill. Thread safe.
[[nodiscard]] std::uint64_t bill_key(std::string_view account,
                                     std::string_view request_id);

/// Returns the sum of top-ups. Thread safe.
[[nodiscard]] tokens total_top_ups_of(const budget_account& account);

/// Returns all tokens settled so far. Thread safe.
[[nodiscard]] tokens settled_of(const budget_account& account);

/// Returns the tokens granted and not yet settled. Thread safe.
[[nodiscard]] tokens outstanding_of(const budget_account& account);

/// Returns the tokens that can still be granted. Thread safe.
[[nodiscard]] tokens pool_of(const budget_account& account);

/// Tells whether settled plus outstanding stays within the top-ups of each
/// budget and no grant is overdrawn. Thread safe.
[[nodiscard]] bool is_consistent(const budget_shard& shard);

/// Returns the record of `name`, or nullptr. Thread safe.
[[nodiscard]] incarnation_record* find_incarnation(budget_shard& shard,
                                                   std::string_view name);

/// Returns the grant of `slot`, or nullptr. Thread safe.
[[nodiscard]] grant_record* find_grant(budget_account& account,
                                       std::int32_t slot);

} // namespace turmeric::domain
