#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/placement/brittle_upstreams.hpp"
#include "libraries/ports/clock.hpp"

#include <vector>

namespace turmeric::codecs
{

/// Encodes what a router observed of brittle upstreams, for a digest. Thread
/// safe.
[[nodiscard]] json
write_brittle(const std::vector<domain::brittle_observation>& observed,
              ports::steady_time now);

/// Decodes the same; `now` is the time of reception. Errors: `peer_protocol`.
/// Thread safe.
[[nodiscard]] result<std::vector<domain::brittle_observation>>
read_brittle(const json& encoded, ports::steady_time now);

} // namespace turmeric::codecs
