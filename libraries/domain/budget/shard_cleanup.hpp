#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

namespace turmeric::domain
{

/// Returns the number of bills remembered. Thread safe.
[[nodiscard]] std::size_t count_bills(const budget_shard& shard);

/// Drops the grants that are spent and have no rate, keeping what they
/// settled. Thread safe.
void remove_idle_grants(budget_account& account);

/// Returns all that `slot` was granted and did not settle, and drops its
/// record. Thread safe.
void remove_incarnation(budget_shard& shard, std::int32_t slot);

} // namespace turmeric::domain
