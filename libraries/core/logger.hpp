#pragma once

#include "libraries/core/log_event.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmeric
{

/// The severity of a log line.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// Returns the level's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

/// A named value of a log line. The value is never a prompt or an API key.
struct log_field
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Writes log lines. Implementations are thread safe.
class logger
{
public:
    logger() = default;
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;
    virtual ~logger() = default;

    /// Writes one line for `event`. No precondition. Thread safe.
    virtual void write(log_level level, log_event event,
                       const std::vector<log_field>& fields) = 0;
};

} // namespace turmeric
