#include "libraries/adapters/asio/caller_connection.hpp"

#include "libraries/adapters/asio/connection_channel.hpp"
#include "libraries/adapters/asio/socket_options.hpp"

#include <cassert>
#include <iterator>
#include <utility>

namespace turmeric::adapters
{

namespace
{

namespace http = boost::beast::http;

/// Bytes of pipelined requests after which a connection stops reading until
/// the present request has its response. One read may exceed it.
constexpr std::size_t max_pipelined_bytes = 64 << 10;
/// How long a connection stays open for reading after its last response, so
/// that the caller receives the response before the connection closes.
constexpr std::chrono::milliseconds linger_timeout{500};

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int header_fields_too_large = 431;

} // namespace

caller_connection::caller_connection(caller_server& server, tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_timer(server.m_loop)
{
}

void caller_connection::start()
{
    prepare_next_request();
    read_more();
}

void caller_connection::prepare_next_request()
{
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_server.m_limits.header_bytes));
    m_parser->body_limit(m_server.m_limits.body_bytes);
    m_has_sent_continue = false;
    set_timer(m_server.m_limits.idle_timeout);
}

void caller_connection::read_more()
{
    if (m_is_reading || m_is_closed)
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
        close(false);
        return;
    }
    if (m_is_refused)
    {
        read_more();
        return;
    }
    m_buffer.append(bytes);
    if (m_is_handling_request)
    {
        // Pipelined requests stay in the buffer. Reading goes on meanwhile to
        // detect that the caller closes the connection.
        if (m_buffer.size() < max_pipelined_bytes)
        {
            read_more();
        }
        return;
    }
    parse();
}

void caller_connection::parse()
{
    if (m_buffer.size() > 0 && !m_parser->got_some())
    {
        m_arrived_at = m_server.m_clock.steady_now();
        set_timer(m_server.m_limits.header_timeout);
    }
    while (m_buffer.size() > 0 && !m_parser->is_done())
    {
        const boost::system::error_code error_code = m_buffer.feed(*m_parser);
        if (error_code == http::error::need_more)
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
    if (m_parser->is_done())
    {
        on_request();
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

void caller_connection::refuse(int status, std::string_view reason)
{
    m_is_handling_request = true;
    m_is_refused = true;
    m_is_keep_alive = false;
    const ports::response_head head{status, std::string(reason), {}};
    write(
        format_response_head(head, body_framing::content_length, 0, false, {}),
        nullptr);
    m_is_response_ended = true;
    // The rest of the request is read and discarded until the linger timeout.
    // Closing with unread bytes would send a reset, and the caller could get
    // it before it has read the response.
    set_timer(linger_timeout);
    read_more();
}

void caller_connection::on_request()
{
    m_timer.cancel();
    m_is_handling_request = true;
    m_is_response_ended = false;
    m_is_keep_alive =
        m_parser->keep_alive() && m_server.m_is_keep_alive_enabled;
    ports::received_request request;
    request.head = head_of(m_parser->get());
    request.body = std::move(m_parser->get().body());
    request.arrived_at = m_arrived_at;
    constexpr unsigned int version_1_0 = 10;
    m_has_chunked_support = m_parser->get().version() > version_1_0;
    m_parser.reset();
    const std::shared_ptr<caller_connection> self = shared_from_this();
    std::shared_ptr<connection_channel> channel =
        std::make_shared<connection_channel>(self);
    std::shared_ptr<ports::exchange_in_flight> started =
        m_server.m_request_handler.accept(std::move(request),
                                          std::move(channel));
    if (m_is_handling_request && !m_is_response_ended && !m_is_closed)
    {
        m_exchange = std::move(started);
    }
    // Reading goes on while the request is handled, to detect that the caller
    // closes the connection.
    read_more();
}

void caller_connection::send_response(const ports::response_head& head,
                                      const std::string& body)
{
    m_is_keep_alive = m_is_keep_alive && m_server.m_is_keep_alive_enabled;
    m_exchange.reset();
    m_is_response_ended = true;
    std::string bytes =
        format_response_head(head, body_framing::content_length, body.size(),
                             m_is_keep_alive, m_server.m_limits.idle_timeout);
    bytes += body;
    write(bytes, nullptr);
}

void caller_connection::start_response(const ports::response_head& head)
{
    m_is_keep_alive = m_is_keep_alive && m_has_chunked_support &&
                      m_server.m_is_keep_alive_enabled;
    const body_framing framing = m_has_chunked_support
                                     ? body_framing::chunked
                                     : body_framing::until_close;
    write(format_response_head(head, framing, 0, m_is_keep_alive,
                               m_server.m_limits.idle_timeout),
          nullptr);
}

void caller_connection::send_part(const std::string& part,
                                  std::function<void()> written)
{
    write(m_has_chunked_support ? format_chunk(part) : part,
          std::move(written));
}

void caller_connection::finish_response()
{
    m_exchange.reset();
    // A part may still be being written. Its callback must not be called after
    // the end of the response.
    m_on_written = nullptr;
    m_is_response_ended = true;
    if (m_has_chunked_support)
    {
        write(std::string(last_chunk), nullptr);
        return;
    }
    if (m_output_in_progress.empty())
    {
        on_response_written();
    }
}

void caller_connection::abort_response()
{
    m_exchange.reset();
    // A chunked body without its last chunk is recognised as truncated. A body
    // that ends with the connection needs a reset for that.
    close(!m_has_chunked_support);
}

void caller_connection::write(const std::string& bytes,
                              std::function<void()> written)
{
    if (m_is_closed)
    {
        return;
    }
    m_queued_output += bytes;
    if (written)
    {
        assert(m_on_written == nullptr);
        m_on_written = std::move(written);
    }
    if (!m_output_in_progress.empty())
    {
        return;
    }
    m_output_in_progress = std::exchange(m_queued_output, std::string());
    const std::shared_ptr<caller_connection> self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_output_in_progress),
                      [self](const boost::system::error_code& error_code,
                             std::size_t) { self->on_written(error_code); });
}

void caller_connection::on_written(const boost::system::error_code& error_code)
{
    m_output_in_progress.clear();
    if (m_is_closed)
    {
        return;
    }
    if (error_code)
    {
        close(false);
        return;
    }
    if (!m_queued_output.empty())
    {
        write(std::string(), nullptr);
        return;
    }
    if (m_on_written)
    {
        const std::function<void()> written =
            std::exchange(m_on_written, nullptr);
        written();
        return;
    }
    if (m_is_response_ended)
    {
        on_response_written();
    }
}

void caller_connection::on_response_written()
{
    m_is_response_ended = false;
    if (!m_is_keep_alive)
    {
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        set_timer(linger_timeout);
        return;
    }
    m_is_handling_request = false;
    prepare_next_request();
    if (m_buffer.size() > 0)
    {
        parse();
        return;
    }
    read_more();
}

void caller_connection::set_timer(std::chrono::milliseconds timeout)
{
    m_timer.expires_after(timeout);
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    m_timer.async_wait(
        [weak](const boost::system::error_code& error_code)
        {
            const std::shared_ptr<caller_connection> self = weak.lock();
            if (!error_code && self != nullptr)
            {
                self->on_timer();
            }
        });
}

void caller_connection::on_timer()
{
    const bool is_mid_request =
        !m_is_handling_request && m_parser && m_parser->got_some();
    if (is_mid_request)
    {
        refuse(request_timeout, "Request Timeout");
        return;
    }
    close(false);
}

void caller_connection::close(bool is_reset)
{
    if (m_is_closed)
    {
        return;
    }
    m_is_closed = true;
    const std::shared_ptr<caller_connection> self = shared_from_this();
    m_timer.cancel();
    m_on_written = nullptr;
    if (is_reset)
    {
        reset_connection(m_socket);
    }
    else
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    m_server.m_connections.erase(self);
    if (const std::shared_ptr<ports::exchange_in_flight> exchange =
            std::exchange(m_exchange, nullptr))
    {
        exchange->on_caller_disconnected();
    }
}

} // namespace turmeric::adapters
