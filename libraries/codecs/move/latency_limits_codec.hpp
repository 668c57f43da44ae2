#pragma once

#include "libraries/codecs/move/field_reader.hpp"
#include "libraries/core/json.hpp"
#include "libraries/domain/move/latency_limits.hpp"

#include <string_view>

namespace turmeric::codecs
{

/// Returns the JSON form, in microseconds. Thread safe.
[[nodiscard]] json to_json(const domain::latency_limits& limits);

/// Reads the limits in field `name`; a fault is left in `reader`. Not thread
/// safe for one reader.
domain::latency_limits read_latency_limits(field_reader& reader,
                                           std::string_view name);

} // namespace turmeric::codecs
