#include "libraries/adapters/asio/caller_connection.hpp"

#include "libraries/adapters/asio/connection_channel.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::adapters
{

namespace
{

/// How long a request waits for the memory of its body; its caller still has
/// time to try another router then.
constexpr std::chrono::milliseconds max_memory_wait{400};
/// The first memory of a body whose length is not known.
constexpr std::int64_t first_chunked_bytes = 4 << 10;
/// Bytes of pipelined requests after which a connection stops reading until
/// the present request has its response. One read may exceed it.
constexpr std::size_t max_pipelined_bytes = 16 << 10;
/// What a header field takes beside its bytes, in the parser and in the request
/// that is passed on. A head of short fields takes many times its size.
constexpr std::int64_t field_overhead_bytes = 256;
/// Longer than any request deadline, so a caller that reads nothing for that
/// time no longer waits for the response.
constexpr std::chrono::seconds unread_timeout{30};

} // namespace

std::size_t caller_connection::bytes_sent_ahead() const
{
    return m_is_handling_request && !m_is_refused ? m_buffer.size() : 0;
}

bool caller_connection::is_unused() const
{
    // Bytes may have arrived while the process was held up.
    return m_is_unused && !has_unread_bytes();
}

ports::steady_time caller_connection::accepted_at() const
{
    return m_accepted_at;
}

void caller_connection::close_if_unread()
{
    if (has_unwritten_bytes() &&
        m_server.m_clock.steady_now() - m_last_write_at >= unread_timeout)
    {
        close(ports::close_reason::response_unread);
    }
}

void caller_connection::close_to_free_resources()
{
    close(ports::close_reason::no_memory);
}

bool caller_connection::is_read_ahead_full() const
{
    const std::size_t ahead = bytes_sent_ahead();
    if (ahead >= max_pipelined_bytes)
    {
        return true;
    }
    const memory_budget* memory = m_server.m_settings.memory;
    return ahead > 0 && memory != nullptr && memory->used() >= memory->limit();
}

bool caller_connection::reserve_read_bytes()
{
    const std::int64_t held = static_cast<std::int64_t>(m_buffer.size()) +
                              m_head.bytes +
                              m_head.lines * field_overhead_bytes;
    if (m_pipelined_memory.try_resize(held))
    {
        return true;
    }
    m_server.close_connection_with_most_bytes_ahead();
    if (m_is_closed)
    {
        return false;
    }
    if (m_is_handling_request)
    {
        // What was sent ahead waits in the buffer; no more of it is read.
        m_pipelined_memory.resize(held);
        return true;
    }
    if (!m_pipelined_memory.try_resize(held))
    {
        close(ports::close_reason::no_memory);
        return false;
    }
    return true;
}

std::int64_t caller_connection::needed_body_bytes() const
{
    if (const boost::optional<std::uint64_t> length =
            m_parser->content_length())
    {
        return static_cast<std::int64_t>(*length);
    }
    if (!m_parser->chunked())
    {
        return 0;
    }
    const std::int64_t arrived = static_cast<std::int64_t>(
        m_parser->get().body().size() + m_buffer.size());
    if (arrived <= m_body_memory.bytes())
    {
        return m_body_memory.bytes();
    }
    return std::max({arrived, 2 * m_body_memory.bytes(), first_chunked_bytes});
}

bool caller_connection::try_reserve_body()
{
    const std::int64_t needed = needed_body_bytes();
    if (!m_body_memory.try_resize(needed))
    {
        return false;
    }
    m_parser->get().body().reserve(static_cast<std::size_t>(needed));
    return true;
}

bool caller_connection::may_read_body()
{
    if (m_server.m_settings.memory == nullptr || !m_parser->is_header_done())
    {
        return true;
    }
    const std::int64_t needed = needed_body_bytes();
    if (needed <= m_body_memory.bytes())
    {
        return true;
    }
    const bool is_small = needed <= memory_budget::max_small_bytes;
    return (is_small || !m_server.has_memory_waiters()) && try_reserve_body();
}

void caller_connection::wait_for_memory()
{
    if (!m_server.m_settings.memory->can_ever_hold(needed_body_bytes()))
    {
        refuse_body(ports::body_refusal::exceeds_memory);
        return;
    }
    if (!m_server.add_memory_waiter(shared_from_this()))
    {
        refuse_body(ports::body_refusal::no_memory_now);
        return;
    }
    m_is_waiting_for_memory = true;
    set_timer(max_memory_wait, ports::close_reason::header_timeout);
}

void caller_connection::stop_waiting()
{
    if (m_is_waiting_for_memory)
    {
        m_is_waiting_for_memory = false;
        m_server.remove_memory_waiter(*this);
    }
}

bool caller_connection::resume_reading()
{
    if (!m_is_waiting_for_memory)
    {
        return true;
    }
    if (!try_reserve_body())
    {
        return false;
    }
    m_is_waiting_for_memory = false;
    // The header timeout restarts, since the caller could not send meanwhile.
    set_timer(m_server.m_limits.header_timeout,
              ports::close_reason::header_timeout);
    parse();
    return true;
}

void caller_connection::refuse_body(ports::body_refusal refusal)
{
    stop_waiting();
    m_timer.cancel();
    if (has_caller_left())
    {
        close(ports::close_reason::caller_closed);
        return;
    }
    m_is_handling_request = true;
    m_is_response_ended = false;
    m_is_keep_alive = false;
    // What follows is the body; it is read and discarded.
    m_is_refused = true;
    ports::received_request request;
    request.head = head_of(m_parser->get());
    request.arrived_at = m_arrived_at;
    request.refusal = refusal;
    m_parser.reset();
    m_body_memory.resize(0);
    m_server.m_request_handler.accept(
        std::move(request),
        std::make_shared<connection_channel>(shared_from_this()));
    read_more();
}

void caller_connection::count_unwritten_bytes()
{
    m_output_memory.resize(static_cast<std::int64_t>(
        m_queued_output.size() + m_output_in_progress.size()));
}

} // namespace turmeric::adapters
