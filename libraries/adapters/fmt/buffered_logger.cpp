#include "libraries/adapters/fmt/buffered_logger.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace turmeric::adapters
{

namespace
{

/// Lines of `info` and below are dropped when more than this is kept, and
/// all lines when twice as much is.
constexpr std::size_t most_kept_bytes = 256 << 10;
/// One write of this size does not wait on a pipe that `poll` calls ready.
constexpr std::size_t most_write_bytes = 4 << 10;
constexpr int end_wait_milliseconds = 50;

} // namespace

buffered_logger::buffered_logger(const ports::clock& clock, log_level least,
                                 log_format format, std::string process,
                                 int output)
    : m_clock(clock)
    , m_least(least)
    , m_format(format)
    , m_process(std::move(process))
    , m_output(output)
{
}

bool buffered_logger::is_dropped(log_level level) const
{
    const std::size_t room =
        level <= log_level::info ? most_kept_bytes : 2 * most_kept_bytes;
    return m_kept.size() > room;
}

void buffered_logger::append(log_level level, log_event event,
                             const std::vector<log_field>& fields)
{
    m_kept += format_log_line(m_format, m_clock.system_now(), level, event,
                              m_process, fields);
    m_kept += '\n';
}

void buffered_logger::write(log_level level, log_event event,
                            const std::vector<log_field>& fields)
{
    if (level < m_least)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (is_dropped(level))
    {
        ++m_dropped;
        return;
    }
    append(level, event, fields);
}

void buffered_logger::write_some(int wait_milliseconds)
{
    std::size_t written = 0;
    while (written < m_kept.size())
    {
        pollfd ready{m_output, POLLOUT, 0};
        if (::poll(&ready, 1, wait_milliseconds) <= 0 ||
            (ready.revents & POLLOUT) == 0)
        {
            break;
        }
        const std::size_t size =
            std::min(most_write_bytes, m_kept.size() - written);
        const ssize_t took = ::write(m_output, m_kept.data() + written, size);
        if (took <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(took);
    }
    m_kept.erase(0, written);
}

void buffered_logger::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_dropped > m_told_dropped && !is_dropped(log_level::info))
    {
        const std::uint64_t lines = m_dropped - m_told_dropped;
        m_told_dropped = m_dropped;
        append(log_level::warning, log_event::log_lines_dropped,
               {{"lines", static_cast<std::int64_t>(lines)}});
    }
    write_some(0);
}

void buffered_logger::flush_at_end()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    write_some(end_wait_milliseconds);
}

std::uint64_t buffered_logger::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

} // namespace turmeric::adapters
