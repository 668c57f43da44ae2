#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

namespace turmeric::domain
{

/// Returns the number of bills recorded in the shard. Thread safe.
[[nodiscard]] std::size_t count_bills(const budget_shard& shard);

/// Removes the grants that are fully settled and have a spend rate of 0; their
/// settled tokens remain in the account. Thread safe.
void remove_idle_grants(budget_account& account);

/// Removes the incarnation's record and its grants: unsettled tokens return to
/// their budgets, settled tokens remain in the accounts. Thread safe.
void remove_incarnation(budget_shard& shard, std::int32_t slot);

} // namespace turmeric::domain
