#include "libraries/adapters/fmt/buffered_logger.hpp"

#include <algorithm>
#include <ctime>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace turmeric::adapters
{

namespace
{

/// Above this buffer size, lines of `info` and below are dropped; above twice
/// this size, all lines.
constexpr std::size_t max_buffered_bytes = 256 << 10;
/// A write of up to this size does not block on a pipe that `poll` reports as
/// writable.
constexpr std::size_t max_write_bytes = 4 << 10;
/// Longest wait for the reader before each write of the final flush.
constexpr int final_flush_wait_ms = 50;

} // namespace

buffered_logger::buffered_logger(const ports::clock& clock, log_level min_level,
                                 log_format format, std::string process,
                                 int output)
    : m_clock(clock)
    , m_min_level(min_level)
    , m_format(format)
    , m_process(std::move(process))
    , m_output(output)
{
}

bool buffered_logger::is_full_for(log_level level) const
{
    const std::size_t limit =
        level <= log_level::info ? max_buffered_bytes : 2 * max_buffered_bytes;
    return m_buffer.size() > limit;
}

void buffered_logger::append(log_level level, log_event event,
                             const std::vector<log_field>& fields)
{
    m_buffer += format_log_line(m_format, m_clock.system_now(), level, event,
                                m_process, fields);
    m_buffer += '\n';
}

void buffered_logger::write(log_level level, log_event event,
                            const std::vector<log_field>& fields)
{
    if (level < m_min_level)
    {
        return;
    }
    const std::lock_guard<flag_lock> lock(m_lock);
    if (is_full_for(level))
    {
        ++m_dropped_lines;
        return;
    }
    append(level, event, fields);
}

std::size_t buffered_logger::write_bytes(std::string_view bytes,
                                         int wait_ms) noexcept
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        pollfd ready{m_output, POLLOUT, 0};
        if (::poll(&ready, 1, wait_ms) <= 0 || (ready.revents & POLLOUT) == 0)
        {
            break;
        }
        const std::size_t size =
            std::min(max_write_bytes, bytes.size() - written);
        const ssize_t accepted =
            ::write(m_output, bytes.data() + written, size);
        if (accepted <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(accepted);
    }
    return written;
}

void buffered_logger::write_buffered(int wait_ms)
{
    m_buffer.erase(0, write_bytes(m_buffer, wait_ms));
}

void buffered_logger::write_last_words(std::string_view last_line) noexcept
{
    bool is_locked = m_lock.try_lock();
    for (int waited_ms = 0; !is_locked && waited_ms < final_flush_wait_ms;
         ++waited_ms)
    {
        constexpr long nanoseconds_per_ms = 1'000'000;
        const timespec pause{0, nanoseconds_per_ms};
        ::nanosleep(&pause, nullptr);
        is_locked = m_lock.try_lock();
    }
    // The lock is kept, so that no other thread changes or writes the buffer
    // until the process has ended.
    if (is_locked)
    {
        write_bytes(m_buffer, final_flush_wait_ms);
    }
    write_bytes(last_line, final_flush_wait_ms);
}

void buffered_logger::flush()
{
    const std::lock_guard<flag_lock> lock(m_lock);
    if (m_dropped_lines > m_reported_dropped_lines &&
        !is_full_for(log_level::info))
    {
        const std::uint64_t lines = m_dropped_lines - m_reported_dropped_lines;
        m_reported_dropped_lines = m_dropped_lines;
        append(log_level::warning, log_event::log_lines_dropped,
               {{"lines", static_cast<std::int64_t>(lines)}});
    }
    write_buffered(0);
}

void buffered_logger::flush_before_exit()
{
    const std::lock_guard<flag_lock> lock(m_lock);
    write_buffered(final_flush_wait_ms);
}

std::uint64_t buffered_logger::dropped_lines() const
{
    const std::lock_guard<flag_lock> lock(m_lock);
    return m_dropped_lines;
}

} // namespace turmeric::adapters
