#include "libraries/adapters/asio/caller_connection.hpp"

#include "libraries/adapters/asio/connection_channel.hpp"
#include "libraries/adapters/asio/socket_options.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace turmeric::adapters
{

namespace
{

/// How long a connection stays open for reading after its last response, so
/// that the caller receives the response before the connection closes.
constexpr std::chrono::milliseconds linger_timeout{500};

constexpr int request_timeout = 408;
} // namespace

caller_connection::caller_connection(caller_server& server, tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_timer(server.m_loop)
    , m_accepted_at(server.m_clock.steady_now())
    , m_connection_memory(server.m_settings.memory, memory_kind::connections)
    , m_body_memory(server.m_settings.memory, memory_kind::reading)
    , m_pipelined_memory(server.m_settings.memory, memory_kind::pipelined)
    , m_output_memory(server.m_settings.memory, memory_kind::responses)
{
    m_connection_memory.resize(caller_server::connection_bytes);
}

void caller_connection::start()
{
    prepare_next_request();
    read_more();
}

bool caller_connection::is_in_request() const
{
    return !m_is_last_response_written &&
           (m_is_handling_request || (m_parser && m_parser->got_some()));
}

bool caller_connection::has_unwritten_bytes() const
{
    return !m_output_in_progress.empty() || !m_queued_output.empty();
}

void caller_connection::prepare_next_request()
{
    m_parser.emplace();
    m_has_sent_continue = false;
    m_idle_since = m_server.m_clock.steady_now();
    set_timer(idle_timeout(), ports::close_reason::idle_timeout);
}

std::chrono::milliseconds caller_connection::idle_timeout() const
{
    return std::max(m_announced_idle_timeout, m_server.m_limits.idle_timeout);
}

std::chrono::milliseconds caller_connection::announce_idle_timeout()
{
    if (m_is_keep_alive)
    {
        m_announced_idle_timeout = m_server.m_limits.idle_timeout;
    }
    return m_server.m_limits.idle_timeout;
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
    set_timer(linger_timeout, ports::close_reason::linger_ended);
    read_more();
}

void caller_connection::on_request()
{
    m_timer.cancel();
    if (has_caller_left())
    {
        close(ports::close_reason::caller_closed);
        return;
    }
    m_is_handling_request = true;
    m_is_response_ended = false;
    m_is_keep_alive = m_parser->keep_alive() && m_server.may_keep_alive();
    ports::received_request request;
    request.head = head_of(m_parser->get());
    request.body = std::move(m_parser->get().body());
    request.arrived_at = m_arrived_at;
    m_body_memory.set_kind(memory_kind::requests);
    request.memory = std::exchange(
        m_body_memory,
        memory_reservation(m_server.m_settings.memory, memory_kind::reading));
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
    m_is_keep_alive = m_is_keep_alive && m_server.may_keep_alive();
    m_exchange.reset();
    m_is_response_ended = true;
    std::string bytes =
        format_response_head(head, body_framing::content_length, body.size(),
                             m_is_keep_alive, announce_idle_timeout());
    bytes += body;
    write(bytes, nullptr);
}

void caller_connection::start_response(const ports::response_head& head)
{
    m_is_keep_alive =
        m_is_keep_alive && m_has_chunked_support && m_server.may_keep_alive();
    const body_framing framing = m_has_chunked_support
                                     ? body_framing::chunked
                                     : body_framing::until_close;
    write(format_response_head(head, framing, 0, m_is_keep_alive,
                               announce_idle_timeout()),
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
    close(ports::close_reason::response_aborted);
}

void caller_connection::write(const std::string& bytes,
                              std::function<void()> written)
{
    if (m_is_closed)
    {
        return;
    }
    m_queued_output += bytes;
    count_unwritten_bytes();
    if (written)
    {
        assert(m_on_written == nullptr);
        m_on_written = std::move(written);
    }
    if (!m_output_in_progress.empty())
    {
        return;
    }
    m_write_started_at = m_server.m_clock.steady_now();
    m_last_write_at = m_write_started_at;
    m_output_in_progress = std::exchange(m_queued_output, std::string());
    const std::shared_ptr<caller_connection> self = shared_from_this();
    asio::async_write(
        m_socket, asio::buffer(m_output_in_progress),
        // Called after each partial write; `self` outlives the operation.
        [this](const boost::system::error_code& error_code,
               std::size_t written_bytes)
        {
            m_last_write_at = m_server.m_clock.steady_now();
            return asio::transfer_all()(error_code, written_bytes);
        },
        [self](const boost::system::error_code& error_code, std::size_t)
        { self->on_written(error_code); });
}

void caller_connection::on_written(const boost::system::error_code& error_code)
{
    const std::size_t bytes = m_output_in_progress.size();
    m_output_in_progress = std::string();
    count_unwritten_bytes();
    if (m_is_closed)
    {
        return;
    }
    if (error_code)
    {
        on_io_error(error_code, ports::close_reason::write_error);
        return;
    }
    record_write(bytes);
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

void caller_connection::record_write(std::size_t bytes) const
{
    const ports::steady_time now = m_server.m_clock.steady_now();
    if (m_server.m_settings.meter != nullptr)
    {
        m_server.m_settings.meter->record_sent(bytes, now);
    }
    if (m_server.m_write_handler)
    {
        m_server.m_write_handler(now - m_write_started_at);
    }
}

void caller_connection::on_response_written()
{
    m_is_response_ended = false;
    if (!m_is_keep_alive)
    {
        m_is_last_response_written = true;
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        set_timer(linger_timeout, ports::close_reason::linger_ended);
        return;
    }
    m_is_handling_request = false;
    m_head = {};
    m_pipelined_memory.resize(static_cast<std::int64_t>(m_buffer.size()));
    prepare_next_request();
    if (m_buffer.size() > 0)
    {
        parse();
        return;
    }
    read_more();
}

void caller_connection::set_timer(std::chrono::milliseconds timeout,
                                  ports::close_reason reason)
{
    m_timer_reason = reason;
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    m_timer.set(timeout,
                [weak]
                {
                    if (const std::shared_ptr<caller_connection> self =
                            weak.lock())
                    {
                        self->on_timer();
                    }
                });
}

void caller_connection::on_timer()
{
    if (m_is_waiting_for_memory)
    {
        refuse_body(ports::body_refusal::no_memory_now);
        return;
    }
    const bool is_mid_request =
        !m_is_handling_request && m_parser && m_parser->got_some();
    if (is_mid_request)
    {
        refuse(request_timeout, "Request Timeout");
        return;
    }
    const bool is_idle = m_timer_reason == ports::close_reason::idle_timeout;
    const std::chrono::milliseconds time_left =
        std::chrono::ceil<std::chrono::milliseconds>(
            m_idle_since + idle_timeout() - m_server.m_clock.steady_now());
    if (is_idle && time_left.count() > 0)
    {
        // The limit has become longer since the connection went idle.
        set_timer(time_left, m_timer_reason);
        return;
    }
    if (is_idle && has_unread_bytes())
    {
        // The process was held up: these bytes arrived within the limit, or
        // cross the close. The pending read takes them next.
        set_timer(m_server.m_limits.header_timeout, m_timer_reason);
        return;
    }
    close(m_timer_reason);
}

bool caller_connection::has_caller_left()
{
    boost::system::error_code error_code;
    m_socket.non_blocking(true, error_code);
    if (error_code)
    {
        return false;
    }
    char next_byte = 0;
    m_socket.receive(asio::buffer(&next_byte, 1),
                     asio::socket_base::message_peek, error_code);
    return error_code == asio::error::eof ||
           error_code == asio::error::connection_reset;
}

bool caller_connection::has_unread_bytes() const
{
    boost::system::error_code ignored;
    return m_socket.available(ignored) > 0;
}

void caller_connection::on_io_error(const boost::system::error_code& error_code,
                                    ports::close_reason other_reason)
{
    if (error_code == asio::error::eof)
    {
        close(ports::close_reason::caller_closed);
        return;
    }
    const bool is_reset = error_code == asio::error::connection_reset ||
                          error_code == asio::error::broken_pipe;
    close(is_reset ? ports::close_reason::caller_reset : other_reason);
}

void caller_connection::close(ports::close_reason reason)
{
    if (m_is_closed)
    {
        return;
    }
    m_is_closed = true;
    const std::shared_ptr<caller_connection> self = shared_from_this();
    m_timer.cancel();
    m_pipelined_memory.resize(0);
    stop_waiting();
    m_on_written = nullptr;
    // A chunked body without its last chunk is recognised as truncated. A body
    // that ends with the connection needs a reset for that.
    const bool is_cut = reason == ports::close_reason::response_aborted ||
                        reason == ports::close_reason::response_unread ||
                        reason == ports::close_reason::no_memory;
    if (is_cut && !m_has_chunked_support)
    {
        reset_connection(m_socket);
    }
    else
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    m_server.m_connections.erase(self);
    if (m_server.m_close_handler)
    {
        m_server.m_close_handler(reason, is_in_request());
    }
    if (const std::shared_ptr<ports::exchange_in_flight> exchange =
            std::exchange(m_exchange, nullptr))
    {
        exchange->on_caller_disconnected(reason);
    }
}

} // namespace turmeric::adapters
