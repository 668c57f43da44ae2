#include "libraries/adapters/fmt/fmt_logger.hpp"

#include <fmt/format.h>

namespace turmeric::adapters
{

fmt_logger::fmt_logger(const ports::clock& clock, log_level min_level,
                       log_format format, std::string process)
    : m_clock(clock)
    , m_min_level(min_level)
    , m_format(format)
    , m_process(std::move(process))
{
}

void fmt_logger::write(log_level level, log_event event,
                       const std::vector<log_field>& fields)
{
    if (level < m_min_level)
    {
        return;
    }
    const std::string line = format_log_line(m_format, m_clock.system_now(),
                                             level, event, m_process, fields);
    std::lock_guard<std::mutex> lock(m_mutex);
    fmt::print(stderr, "{}\n", line);
}

} // namespace turmeric::adapters
