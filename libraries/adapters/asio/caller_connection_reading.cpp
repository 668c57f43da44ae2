#include "libraries/adapters/asio/caller_connection.hpp"

#include <iterator>
#include <utility>

namespace turmeric::adapters
{

namespace
{

namespace http = boost::beast::http;

/// Size limit for bytes of a body that the parser cannot use before more
/// arrive, such as a chunk header or trailers.
constexpr std::size_t max_unparsed_bytes = 64 << 10;
constexpr int bad_request = 400;
constexpr int content_too_large = 413;
constexpr int header_fields_too_large = 431;

} // namespace

void caller_connection::read_more()
{
    if (m_is_reading || m_is_closed || is_read_ahead_full())
    {
        return;
    }
    m_is_reading = true;
    const std::shared_ptr<caller_connection> self = shared_from_this();
    m_socket.async_read_some(
        m_buffer.read_target(),
        [self](const boost::system::error_code& error_code, std::size_t bytes)
        { self->on_read(error_code, bytes); });
}

void caller_connection::on_read(const boost::system::error_code& error_code,
                                std::size_t bytes)
{
    m_is_reading = false;
    if (m_is_closed)
    {
        return;
    }
    if (error_code)
    {
        on_io_error(error_code, ports::close_reason::read_error);
        return;
    }
    m_is_unused = false;
    if (m_server.m_settings.meter != nullptr)
    {
        m_server.m_settings.meter->record_received(
            bytes, m_server.m_clock.steady_now());
    }
    if (m_is_refused)
    {
        read_more();
        return;
    }
    m_buffer.append(bytes);
    if (!reserve_read_bytes())
    {
        return;
    }
    if (m_is_waiting_for_memory)
    {
        // This read began before the wait; the next one follows it.
        return;
    }
    if (m_is_handling_request)
    {
        // Pipelined requests stay in the buffer. Reading goes on meanwhile to
        // detect that the caller closes the connection.
        read_more();
        return;
    }
    parse();
}

void caller_connection::parse()
{
    if (m_buffer.size() > 0 && !m_parser->got_some())
    {
        m_arrived_at = m_server.m_clock.steady_now();
        m_parser->header_limit(
            static_cast<std::uint32_t>(m_server.m_limits.header_bytes));
        m_parser->body_limit(m_server.m_limits.body_bytes);
        set_timer(m_server.m_limits.header_timeout,
                  ports::close_reason::header_timeout);
    }
    while (m_buffer.size() > 0 && !m_parser->is_done())
    {
        if (!may_read_body())
        {
            wait_for_memory();
            return;
        }
        const boost::system::error_code error_code =
            m_parser->is_header_done() ? m_buffer.feed(*m_parser)
                                       : m_buffer.feed(*m_parser, m_head);
        if (error_code == http::error::need_more &&
            (!m_parser->is_header_done() ||
             m_buffer.size() <= max_unparsed_bytes))
        {
            break;
        }
        if (error_code)
        {
            on_parse_error(error_code);
            return;
        }
        if (m_parser->is_header_done() && !is_framing_valid())
        {
            refuse(bad_request, "Bad Request");
            return;
        }
    }
    // The head is counted with its fields only after it has been parsed.
    if (!reserve_read_bytes())
    {
        return;
    }
    if (m_parser->is_done())
    {
        on_request();
        return;
    }
    if (!may_read_body())
    {
        wait_for_memory();
        return;
    }
    if (m_parser->is_header_done())
    {
        send_continue_if_expected();
    }
    read_more();
}

bool caller_connection::is_framing_valid() const
{
    // If the upstream delimits the body in another way than this parser, a
    // caller can hide a second request in the body (request smuggling). So
    // "chunked" is the only transfer coding accepted, and never together with
    // Content-Length.
    const auto& message = m_parser->get();
    const auto codings =
        message.base().equal_range(http::field::transfer_encoding);
    const std::size_t count =
        static_cast<std::size_t>(std::distance(codings.first, codings.second));
    if (count == 0)
    {
        return true;
    }
    return count == 1 &&
           boost::beast::iequals(codings.first->value(), "chunked") &&
           message.find(http::field::content_length) == message.end();
}

void caller_connection::send_continue_if_expected()
{
    const auto& message = m_parser->get();
    if (m_has_sent_continue ||
        !boost::beast::iequals(message[http::field::expect], "100-continue"))
    {
        return;
    }
    m_has_sent_continue = true;
    write("HTTP/1.1 100 Continue\r\n\r\n", nullptr);
}

void caller_connection::on_parse_error(
    const boost::system::error_code& error_code)
{
    if (error_code == http::error::header_limit)
    {
        refuse(header_fields_too_large, "Request Header Fields Too Large");
        return;
    }
    if (error_code == http::error::body_limit)
    {
        refuse(content_too_large, "Content Too Large");
        return;
    }
    refuse(bad_request, "Bad Request");
}

} // namespace turmeric::adapters
