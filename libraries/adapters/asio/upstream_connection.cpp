#include "libraries/adapters/asio/upstream_connection.hpp"

#include "libraries/adapters/asio/socket_options.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <limits>
#include <utility>

namespace turmeric::adapters
{

namespace
{

namespace http = boost::beast::http;

/// Size limit for the head of a response.
constexpr std::uint32_t max_head_bytes = 64 << 10;
constexpr std::chrono::milliseconds unacknowledged_timeout{2'500};
/// How long an idle connection is kept if the upstream does not send
/// `Keep-Alive: timeout=`.
constexpr std::chrono::milliseconds default_max_idle{4'000};
/// The calls on a connection whose echoed values are remembered.
constexpr std::size_t max_carried_values = 16;

} // namespace

upstream_connection::upstream_connection(upstream_connection_pool& pool,
                                         std::string address)
    : m_pool(pool)
    , m_address(std::move(address))
    , m_socket(pool.m_loop)
    , m_connect_timer(pool.m_loop)
{
}

const std::string& upstream_connection::address() const
{
    return m_address;
}

bool upstream_connection::is_usable(ports::steady_time now,
                                    std::chrono::milliseconds max_idle) const
{
    return !m_is_closed && now - m_idle_since < std::min(max_idle, m_max_idle);
}

bool upstream_connection::has_carried(const std::string& echoed_value) const
{
    return !echoed_value.empty() &&
           std::find(m_carried_values.begin(), m_carried_values.end(),
                     echoed_value) != m_carried_values.end();
}

void upstream_connection::start_call(
    ports::outgoing_call call, std::shared_ptr<ports::call_listener> listener)
{
    assert(m_listener == nullptr);
    m_call = std::move(call);
    m_listener = std::move(listener);
    m_carried_values.push_front(m_call.echoed_field_value);
    if (m_carried_values.size() > max_carried_values)
    {
        m_carried_values.pop_back();
    }
    m_is_request_sent = false;
    m_mismatched_responses = 0;
    m_interim_responses = 0;
    m_skipped_bytes = 0;
    start_next_response();
    if (m_is_connected)
    {
        send();
        return;
    }
    connect(m_call.connect_timeout);
}

void upstream_connection::start_next_response()
{
    m_parser.emplace();
    m_parser->header_limit(max_head_bytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_is_head_delivered = false;
    m_is_skipping_response = false;
    m_is_waiting_for_listener = false;
}

void upstream_connection::connect(std::chrono::milliseconds timeout)
{
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(m_address);
    if (!endpoint)
    {
        asio::post(m_pool.m_loop, [self]
                   { self->fail(ports::transport_failure::not_connected); });
        return;
    }
    const std::weak_ptr<upstream_connection> weak = weak_from_this();
    m_connect_timer.set(timeout,
                        [weak]
                        {
                            if (const auto connecting = weak.lock())
                            {
                                connecting->fail(
                                    ports::transport_failure::not_connected);
                            }
                        });
    m_socket.async_connect(*endpoint,
                           [self](const boost::system::error_code& error_code)
                           { self->on_connected(error_code); });
}

void upstream_connection::on_connected(
    const boost::system::error_code& error_code)
{
    if (m_is_closed)
    {
        return;
    }
    if (error_code)
    {
        fail(ports::transport_failure::not_connected);
        return;
    }
    m_connect_timer.cancel();
    m_is_connected = true;
    set_connection_options(m_socket, unacknowledged_timeout);
    send();
}

void upstream_connection::send()
{
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(m_call.bytes), m_call.body == nullptr
                                        ? asio::const_buffer()
                                        : asio::buffer(m_call.body->bytes)};
    asio::async_write(
        m_socket, buffers,
        [self](const boost::system::error_code& error_code, std::size_t bytes)
        { self->on_sent(error_code, bytes); });
    // The response can arrive before the request is sent completely.
    read();
}

void upstream_connection::on_sent(const boost::system::error_code& error_code,
                                  std::size_t bytes)
{
    const std::size_t body_bytes =
        m_call.body == nullptr ? 0 : m_call.body->bytes.size();
    if (m_pool.m_meter != nullptr)
    {
        m_pool.m_meter->record_sent(bytes, m_pool.m_clock.steady_now());
    }
    const bool is_sent =
        !error_code && bytes == m_call.bytes.size() + body_bytes;
    m_call.bytes = std::string();
    m_call.body.reset();
    m_call.memory.resize(0);
    if (m_is_closed || m_listener == nullptr)
    {
        return;
    }
    // A failed write does not fail the call by itself. The upstream may have
    // responded already, so the outcome of reading decides.
    m_is_request_sent = is_sent;
    // The kernel reports a broken pipe if the upstream had ended its side
    // before it reset the connection. That end is read as it was sent.
    if (error_code != asio::error::broken_pipe)
    {
        m_write_error = error_code;
    }
}

std::chrono::milliseconds upstream_connection::compute_max_idle() const
{
    constexpr std::string_view parameter = "timeout=";
    const auto& message = m_parser->get();
    const std::string value(message[http::field::keep_alive]);
    const std::size_t found = value.find(parameter);
    if (found == std::string::npos)
    {
        return default_max_idle;
    }
    std::int64_t seconds = 0;
    const char* start = value.data() + found + parameter.size();
    const auto [rest, parse_error] =
        std::from_chars(start, value.data() + value.size(), seconds);
    if (parse_error != std::errc() || rest == start)
    {
        return default_max_idle;
    }
    // Half of the time, since the upstream starts to count earlier and must not
    // close the connection while a new request is sent.
    return std::chrono::milliseconds(std::chrono::seconds(seconds)) / 2;
}

void upstream_connection::become_idle(std::chrono::milliseconds max_idle)
{
    m_parser.reset();
    m_call = {};
    m_idle_since = m_pool.m_clock.steady_now();
    m_max_idle = max_idle;
    m_pool.add_idle_connection(shared_from_this());
    // Detects that the upstream closes the connection or sends bytes without a
    // request.
    read();
}

void upstream_connection::cancel()
{
    m_listener = nullptr;
    close();
}

ports::response_defect upstream_connection::defect() const
{
    return m_defect;
}

void upstream_connection::fail(ports::transport_failure failure,
                               ports::response_defect defect)
{
    if (m_is_closed)
    {
        return;
    }
    m_defect = defect;
    const std::shared_ptr<ports::call_listener> listener =
        std::exchange(m_listener, nullptr);
    close();
    if (listener != nullptr)
    {
        listener->on_failure(failure);
    }
}

void upstream_connection::close()
{
    if (m_is_closed)
    {
        return;
    }
    m_is_closed = true;
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    m_connect_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_pool.remove_idle_connection(*this);
}

} // namespace turmeric::adapters
