#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

#include <cstdint>
#include <vector>

namespace turmeric::domain
{

/// Returns the recorded bill with that key, or nullptr if there is none or it
/// is older than the retry window. Thread safe while the shard does not change.
[[nodiscard]] const bill_record* find_bill(const budget_shard& shard,
                                           std::uint64_t key);

/// Returns the bills of the page to which a bill made durable at `now` is
/// added; adds a page if needed. Not thread safe.
[[nodiscard]] std::vector<bill_record>&
bills_of_current_page(budget_shard& shard, sys_seconds now);

} // namespace turmeric::domain
