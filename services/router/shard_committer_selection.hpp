#pragma once

#include "libraries/domain/membership/member.hpp"

#include <cstdint>
#include <string>

namespace turmeric::router
{

/// Returns the peer address of the router that commits a budget shard, or an
/// empty text when that is the router itself. Routers that see the same
/// members agree; when they do not, the shard has two committers for a while,
/// which costs conflicts and nothing else. Thread safe.
[[nodiscard]] std::string
select_shard_committer(const domain::membership_snapshot& fleet,
                       std::int32_t shard);

} // namespace turmeric::router
