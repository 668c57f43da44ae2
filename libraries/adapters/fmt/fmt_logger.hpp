#pragma once

#include "libraries/adapters/fmt/log_line.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/ports/clock.hpp"

#include <mutex>
#include <string>

namespace turmeric::adapters
{

/// Writes one line per event to standard error. Thread safe.
class fmt_logger final : public logger
{
public:
    /// Logs events of level `min_level` and above. Precondition: `clock`
    /// outlives this object.
    fmt_logger(const ports::clock& clock, log_level min_level,
               log_format format, std::string process);

    /// Writes one line, and blocks while standard error does not accept it.
    /// Thread safe.
    void write(log_level level, log_event event,
               const std::vector<log_field>& fields) override;

private:
    const ports::clock& m_clock;
    log_level m_min_level;
    log_format m_format;
    std::string m_process;
    std::mutex m_mutex;
};

} // namespace turmeric::adapters
