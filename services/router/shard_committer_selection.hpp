#pragma once

#include "libraries/domain/membership/member.hpp"

#include <cstdint>
#include <string>

namespace turmeric::router
{

/// Returns the peer address of the router that commits a budget shard, or an
/// empty text if this router does. Chosen by rendezvous hashing, so routers
/// with the same view of the fleet agree. While their views differ, a shard may
/// have two committers, which causes only write conflicts. Thread safe.
[[nodiscard]] std::string
select_shard_committer(const domain::membership_snapshot& fleet,
                       std::int32_t shard);

} // namespace turmeric::router
