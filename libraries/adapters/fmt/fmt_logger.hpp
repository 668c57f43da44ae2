#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <mutex>
#include <string>

namespace turmeric::adapters
{

/// How a log line is written.
enum class log_format : std::uint8_t
{
    text,
    json,
};

/// Writes one line an event to standard error. Thread safe.
class fmt_logger final : public logger
{
public:
    /// Logs events of at least `least`. Precondition: `clock` outlives this.
    fmt_logger(const ports::clock& clock, log_level least, log_format format,
               std::string process);

    /// Writes one line. No precondition. Thread safe.
    void write(log_level level, log_event event,
               const std::vector<log_field>& fields) override;

private:
    const ports::clock& m_clock;
    log_level m_least;
    log_format m_format;
    std::string m_process;
    std::mutex m_mutex;
};

/// Returns the level of that name; "info" for an unknown one. Thread safe.
[[nodiscard]] log_level log_level_of(const std::string& name);

/// Returns the format of that name; text for an unknown one. Thread safe.
[[nodiscard]] log_format log_format_of(const std::string& name);

} // namespace turmeric::adapters
