#include "libraries/drivers/responses/response_buffer.hpp"

#include <cassert>

namespace turmeric::drivers
{

response_buffer::response_buffer(std::size_t max_unread_bytes)
    : m_max_unread_bytes(max_unread_bytes)
{
}

void response_buffer::set_head(relayed_response_head head)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_head = std::move(head);
    m_written.notify_all();
}

bool response_buffer::append(const std::string& piece,
                             std::chrono::milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    bool has_room = m_read.wait_for(
        lock, timeout,
        [this] {
            return m_is_cancelled || unread_bytes_locked() < m_max_unread_bytes;
        });
    if (!has_room || m_is_cancelled)
    {
        return false;
    }
    m_text += piece;
    m_piece_ends.push_back(static_cast<std::uint32_t>(m_text.size()));
    m_written.notify_all();
    return true;
}

bool response_buffer::wait_for_reader(std::chrono::milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    bool has_room =
        m_read.wait_for(lock, timeout,
                        [this] {
                            return m_is_cancelled || unread_bytes_locked() <=
                                                         m_max_unread_bytes / 2;
                        });
    return has_room && !m_is_cancelled;
}

void response_buffer::finish(response_end end)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    assert(!m_end && !m_failure);
    m_end = std::move(end);
    m_written.notify_all();
}

void response_buffer::fail(error failure)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    assert(!m_end && !m_failure);
    m_failure = std::move(failure);
    m_written.notify_all();
}

void response_buffer::cancel(std::uint64_t reader)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (reader == m_newest_reader && !m_end && !m_failure)
    {
        m_is_cancelled = true;
        m_read.notify_all();
    }
}

bool response_buffer::is_cancelled() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_is_cancelled;
}

std::uint64_t response_buffer::attach_reader()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_pieces_read = 0;
    ++m_newest_reader;
    m_written.notify_all();
    return m_newest_reader;
}

std::optional<error> response_buffer::wait_for_head()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_written.wait(lock,
                   [this] { return m_head || m_end.has_value() || m_failure; });
    // After the head, `read` reports the failure behind the last piece.
    return m_head ? std::nullopt : m_failure;
}

relayed_response_head response_buffer::head() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    assert(m_head);
    return m_head.value_or(relayed_response_head());
}

response_part response_buffer::read(std::uint64_t reader,
                                    std::chrono::milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_written.wait_for(lock, wait,
                       [this, reader]
                       {
                           return reader != m_newest_reader || m_end ||
                                  m_failure ||
                                  m_pieces_read < m_piece_ends.size();
                       });
    response_part part;
    if (reader != m_newest_reader)
    {
        part.is_superseded = true;
        return part;
    }
    while (m_pieces_read < m_piece_ends.size() &&
           part.pieces.size() < max_pieces_per_read)
    {
        std::size_t start =
            m_pieces_read == 0 ? 0 : m_piece_ends[m_pieces_read - 1];
        part.pieces.push_back(
            m_text.substr(start, m_piece_ends[m_pieces_read] - start));
        ++m_pieces_read;
    }
    if (m_pieces_read == m_piece_ends.size())
    {
        part.end = m_end;
        part.failure = m_failure;
    }
    m_read.notify_all();
    return part;
}

bool response_buffer::is_ended() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_end.has_value() || m_failure.has_value();
}

std::optional<error> response_buffer::failure() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_failure;
}

std::size_t response_buffer::piece_count() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_piece_ends.size();
}

std::size_t response_buffer::byte_count() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_text.size();
}

std::size_t response_buffer::unread_bytes() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return unread_bytes_locked();
}

std::size_t response_buffer::unread_bytes_locked() const
{
    std::size_t read = m_pieces_read == 0 ? 0 : m_piece_ends[m_pieces_read - 1];
    return m_text.size() - read;
}

} // namespace turmeric::drivers
