#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/placement/named_rate_limits.hpp"

#include <vector>

namespace turmeric::codecs
{

/// Encodes limits as an array of rows; times become their ages at `now`.
/// Thread safe.
[[nodiscard]] json
write_rate_limits(const std::vector<domain::named_rate_limit>& limits,
                  ports::steady_time now);

/// Decodes limits that were received at `now`. Errors: `peer_protocol`.
/// Thread safe.
[[nodiscard]] result<std::vector<domain::named_rate_limit>>
read_rate_limits(const json& encoded, ports::steady_time now);

} // namespace turmeric::codecs
