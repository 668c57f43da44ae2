#pragma once

#include "libraries/domain/budget/router_batch.hpp"
#include "libraries/domain/budget/shard_changes.hpp"

#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// Settles bills of an ended incarnation from the copies that a peer kept, each
/// at most once and only from the tokens that the incarnation was granted. A
/// bill that is already recorded changes nothing, so any number of peers may
/// settle the same copies. Precondition: the incarnation ended; a live one
/// settles its own bills. Thread safe.
[[nodiscard]] change settle_bill_copies(budget_shard& shard,
                                        std::string_view incarnation,
                                        const std::vector<pending_bill>& bills,
                                        sys_seconds now);

} // namespace turmeric::domain
