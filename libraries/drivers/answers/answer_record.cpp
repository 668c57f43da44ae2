#include "libraries/drivers/answers/answer_record.hpp"

#include <cassert>

namespace turmeric::drivers
{

answer_record::answer_record(std::size_t most_unread_bytes)
    : m_most_unread_bytes(most_unread_bytes)
{
}

void answer_record::set_head(answer_head head)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_head = std::move(head);
    m_written.notify_all();
}

bool answer_record::append(const std::string& piece,
                           std::chrono::milliseconds patience)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    bool has_room = m_taken.wait_for(
        lock, patience,
        [this]
        { return m_is_cancelled || unread_locked() < m_most_unread_bytes; });
    if (!has_room || m_is_cancelled)
    {
        return false;
    }
    m_text += piece;
    m_ends.push_back(static_cast<std::uint32_t>(m_text.size()));
    m_written.notify_all();
    return true;
}

bool answer_record::wait_for_reader(std::chrono::milliseconds patience)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    bool has_room = m_taken.wait_for(
        lock, patience,
        [this] {
            return m_is_cancelled || unread_locked() <= m_most_unread_bytes / 2;
        });
    return has_room && !m_is_cancelled;
}

void answer_record::finish(answer_end end)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    assert(!m_end && !m_failure);
    m_end = std::move(end);
    m_written.notify_all();
}

void answer_record::fail(error failure)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    assert(!m_end && !m_failure);
    m_failure = std::move(failure);
    m_written.notify_all();
}

void answer_record::cancel(std::uint64_t reader)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (reader == m_reader && !m_end && !m_failure)
    {
        m_is_cancelled = true;
        m_taken.notify_all();
    }
}

bool answer_record::is_cancelled() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_is_cancelled;
}

std::uint64_t answer_record::attach()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_read_pieces = 0;
    ++m_reader;
    m_written.notify_all();
    return m_reader;
}

std::optional<error> answer_record::wait_for_head()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_written.wait(lock,
                   [this] { return m_head || m_end.has_value() || m_failure; });
    // A failure with a head is told within the answer, after its pieces.
    return m_head ? std::nullopt : m_failure;
}

answer_head answer_record::head() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    assert(m_head);
    return m_head.value_or(answer_head());
}

answer_part answer_record::read(std::uint64_t reader,
                                std::chrono::milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_written.wait_for(lock, wait,
                       [this, reader]
                       {
                           return reader != m_reader || m_end || m_failure ||
                                  m_read_pieces < m_ends.size();
                       });
    answer_part part;
    if (reader != m_reader)
    {
        part.is_superseded = true;
        return part;
    }
    while (m_read_pieces < m_ends.size() &&
           part.pieces.size() < most_pieces_read)
    {
        std::size_t start = m_read_pieces == 0 ? 0 : m_ends[m_read_pieces - 1];
        part.pieces.push_back(
            m_text.substr(start, m_ends[m_read_pieces] - start));
        ++m_read_pieces;
    }
    if (m_read_pieces == m_ends.size())
    {
        part.end = m_end;
        part.failure = m_failure;
    }
    m_taken.notify_all();
    return part;
}

bool answer_record::is_ended() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_end.has_value() || m_failure.has_value();
}

std::optional<error> answer_record::failure() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_failure;
}

std::size_t answer_record::piece_count() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_ends.size();
}

std::size_t answer_record::byte_count() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_text.size();
}

std::size_t answer_record::unread_bytes() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return unread_locked();
}

std::size_t answer_record::unread_locked() const
{
    std::size_t read = m_read_pieces == 0 ? 0 : m_ends[m_read_pieces - 1];
    return m_text.size() - read;
}

} // namespace turmeric::drivers
