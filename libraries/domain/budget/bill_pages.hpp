#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

#include <cstdint>
#include <vector>

namespace turmeric::domain
{

/// Returns the bill of that key within the retry window, or nullptr. Thread
/// safe on a shard that does not change.
[[nodiscard]] const bill_record* find_bill(const budget_shard& shard,
                                           std::uint64_t key);

/// Returns the page that a bill made durable at `now` belongs to. Not thread
/// safe.
[[nodiscard]] std::vector<bill_record>&
bills_of_current_page(budget_shard& shard, sys_seconds now);

} // namespace turmeric::domain
