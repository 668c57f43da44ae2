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
    /// Names the top-up; a repeat under the same id is applied once.
    std::string id;
    tokens amount = 0;
};

/// Whether a change of a shard must be written.
enum class change : std::uint8_t
{
    none,
    made,
};

/// Adds the tokens to the budget, once for each id. Thread safe.
///
/// Errors: `amount_overflow`, `top_up_reused`, `ledger_full`.
result<change> apply_top_up(budget_shard& shard, const top_up& added,
                            sys_seconds now, const shard_limits& limits);

/// Applies a router's batch as a whole, once for each operation number;
/// a batch that took effect before gives its reply again. Thread safe.
[[nodiscard]] batch_reply
apply_batch(budget_shard& shard, const router_batch& batch, sys_seconds now,
            const shard_limits& limits, const grant_policy& policy);

/// Stops granting to the incarnation; its late bills still settle. Thread
/// safe.
[[nodiscard]] change freeze_incarnation(budget_shard& shard,
                                        std::string_view name, sys_seconds now);

/// Returns the unspent grants of an incarnation that has been frozen for
/// `freeze_time` to their budgets and drops its record; its later batches are
/// refused. Thread safe.
[[nodiscard]] change close_incarnation(budget_shard& shard,
                                       std::string_view name, sys_seconds now,
                                       std::chrono::seconds freeze_time);

/// Drops what is older than its window. Thread safe.
void trim(budget_shard& shard, sys_seconds now, const shard_limits& limits);

} // namespace turmeric::domain
