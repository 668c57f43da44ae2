#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace turmeric::codecs
{

/// Formats a time as "2026-12-04T17:00:00.250Z", rounded down to milliseconds.
/// A fraction of zero is left out. Thread safe.
[[nodiscard]] std::string
format_utc_time(std::chrono::system_clock::time_point time);

/// Parses a time in the format of `format_utc_time`. The fraction may have up
/// to 9 digits; digits below a millisecond are ignored. Returns nothing if the
/// text is not such a time. Thread safe.
[[nodiscard]] std::optional<std::chrono::system_clock::time_point>
parse_utc_time(const std::string& text);

} // namespace turmeric::codecs
