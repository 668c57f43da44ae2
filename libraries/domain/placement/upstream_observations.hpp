#pragma once

#include "libraries/domain/crashing_parts/suspect_part.hpp"
#include "libraries/domain/placement/brittle_upstreams.hpp"
#include "libraries/domain/placement/named_rate_limits.hpp"

#include <vector>

namespace turmeric::domain
{

/// What a router has observed of the upstreams and tells its peers.
struct upstream_observations
{
    /// Prompt parts under which upstreams have ended.
    std::vector<suspect_part> suspect_parts;
    /// Limits that upstreams have named.
    std::vector<named_rate_limit> rate_limits;
    /// What was seen of brittle upstreams.
    std::vector<brittle_observation> brittle = {};

    /// Returns whether there are none. Thread safe.
    [[nodiscard]] bool empty() const
    {
        return suspect_parts.empty() && rate_limits.empty() && brittle.empty();
    }
};

} // namespace turmeric::domain
