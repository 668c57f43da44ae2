#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::adapters
{

/// How a log line is written.
enum class log_format : std::uint8_t
{
    text,
    json,
};

/// Returns one log line without a newline at its end. Thread safe.
[[nodiscard]] std::string format_log_line(log_format format,
                                          ports::system_time time,
                                          log_level level, log_event event,
                                          const std::string& process,
                                          const std::vector<log_field>& fields);

/// Returns the level of that name, or `info` if the name is unknown. Thread
/// safe.
[[nodiscard]] log_level parse_log_level(const std::string& name);

/// Returns the format of that name, or `text` if the name is unknown. Thread
/// safe.
[[nodiscard]] log_format parse_log_format(const std::string& name);

} // namespace turmeric::adapters
