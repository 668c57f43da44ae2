#pragma once

#include "libraries/codecs/move/field_reader.hpp"
#include "libraries/core/json.hpp"
#include "libraries/domain/move/latency_limits.hpp"

#include <string_view>

namespace turmeric::codecs
{

/// Encodes limits as JSON, in microseconds. Thread safe.
[[nodiscard]] json to_json(const domain::latency_limits& limits);

/// Decodes the limits in the field `name`; `reader` records an error if they
/// are missing or invalid. Thread safe for different readers.
domain::latency_limits read_latency_limits(field_reader& reader,
                                           std::string_view name);

} // namespace turmeric::codecs
