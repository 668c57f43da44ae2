#pragma once

#include "libraries/core/json.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <optional>

namespace turmeric::codecs
{

/// Returns how long ago a time was, in milliseconds: at least 0, and at most
/// what `read_age` accepts. Routers exchange ages, since their clocks differ.
/// Thread safe.
[[nodiscard]] std::int64_t age_of(ports::steady_time at,
                                  ports::steady_time now);

/// Returns the time that had the encoded age at `now`; nothing if it is no
/// integer, negative, or older than any router reports. Thread safe.
[[nodiscard]] std::optional<ports::steady_time>
read_age(const json& encoded, ports::steady_time now);

} // namespace turmeric::codecs
