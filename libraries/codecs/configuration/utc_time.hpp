#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace turmeric::codecs
{

/// Returns the time in the form "2026-12-04T17:00:00.250Z"; the fraction is
/// left out when it is zero. Thread safe.
[[nodiscard]] std::string
format_utc_time(std::chrono::system_clock::time_point time);

/// Reads what `format_utc_time` writes, to the millisecond, or returns
/// nothing. Thread safe.
[[nodiscard]] std::optional<std::chrono::system_clock::time_point>
parse_utc_time(const std::string& text);

} // namespace turmeric::codecs
