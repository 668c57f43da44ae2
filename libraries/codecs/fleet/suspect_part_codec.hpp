#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/crashing_parts/suspect_part.hpp"

#include <vector>

namespace turmeric::codecs
{

/// Encodes suspects as an array of rows; times become their ages at `now`.
/// Thread safe.
[[nodiscard]] json
write_suspect_parts(const std::vector<domain::suspect_part>& parts,
                    ports::steady_time now);

/// Decodes suspects that were received at `now`. Errors: `peer_protocol`.
/// Thread safe.
[[nodiscard]] result<std::vector<domain::suspect_part>>
read_suspect_parts(const json& encoded, ports::steady_time now);

} // namespace turmeric::codecs
