#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/budget_shard.hpp"
#include "libraries/domain/budget/grant_policy.hpp"
#include "libraries/domain/budget/router_batch.hpp"

namespace turmeric::domain
{

/// Tokens that an operator adds to a budget.
struct top_up
{
    std::string account;
    std::string budget;
    /// Identifies the top-up; top-ups with the same id are applied only once.
    std::string id;
    tokens amount = 0;
};

/// Whether a function changed the shard, so that it must be written.
enum class change : std::uint8_t
{
    none,
    made,
};

/// Adds the tokens to the budget, once for each top-up id. Thread safe.
///
/// Errors: `amount_overflow`, `top_up_reused`, `ledger_full`.
result<change> apply_top_up(budget_shard& shard, const top_up& added,
                            sys_seconds now, const shard_limits& limits);

/// Applies a router's batch atomically, once for each operation number. The
/// last batch that took effect gets its reply again; its bills that have no
/// record are `expired` then. Thread safe.
[[nodiscard]] batch_reply
apply_batch(budget_shard& shard, const router_batch& batch, sys_seconds now,
            const shard_limits& limits, const grant_policy& policy);

/// Stops granting tokens to the incarnation; its late bills are still settled.
/// Thread safe.
[[nodiscard]] change freeze_incarnation(budget_shard& shard,
                                        std::string_view name, sys_seconds now);

/// Closes an incarnation that has been frozen for `freeze_time`: its unsettled
/// tokens return to their budgets, its record is removed, and its later batches
/// are refused. Thread safe.
[[nodiscard]] change close_incarnation(budget_shard& shard,
                                       std::string_view name, sys_seconds now,
                                       std::chrono::seconds freeze_time);

/// Removes the bills and the records of top-ups that are older than their
/// retention periods. Thread safe.
void trim(budget_shard& shard, sys_seconds now, const shard_limits& limits);

} // namespace turmeric::domain
