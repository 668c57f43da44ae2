#include "libraries/adapters/asio/upstream_connection.hpp"

#include "libraries/adapters/asio/socket_options.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <limits>
#include <utility>

namespace turmeric::adapters
{

namespace
{

namespace http = boost::beast::http;

constexpr std::uint32_t most_head_bytes = 64 << 10;
/// Answers to other requests that are skipped before a connection is given
/// up.
constexpr std::int32_t most_foreign_answers = 2;
constexpr std::chrono::milliseconds unacknowledged_timeout{2'500};
/// How long a connection is kept whose upstream names no time.
constexpr std::chrono::milliseconds usual_idle{4'000};

} // namespace

upstream_connection::upstream_connection(upstream_pool& pool,
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

void upstream_connection::begin(ports::outgoing_call call,
                                std::shared_ptr<ports::call_listener> listener)
{
    assert(m_listener == nullptr);
    m_call = std::move(call);
    m_listener = std::move(listener);
    m_is_sent = false;
    m_foreign_answers = 0;
    start_next_answer();
    if (m_is_connected)
    {
        send();
        return;
    }
    connect();
}

void upstream_connection::start_next_answer()
{
    m_parser.emplace();
    m_parser->header_limit(most_head_bytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_is_head_passed = false;
    m_is_skipping = false;
    m_is_waiting_for_reader = false;
}

void upstream_connection::connect()
{
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    const std::optional<tcp::endpoint> endpoint = read_endpoint(m_address);
    if (!endpoint)
    {
        asio::post(m_pool.m_loop, [self]
                   { self->fail(ports::transport_failure::not_connected); });
        return;
    }
    m_connect_timer.expires_after(m_call.connect_timeout);
    m_connect_timer.async_wait(
        [self](const boost::system::error_code& fault)
        {
            if (!fault && !self->m_is_connected)
            {
                self->fail(ports::transport_failure::not_connected);
            }
        });
    m_socket.async_connect(*endpoint,
                           [self](const boost::system::error_code& fault)
                           { self->on_connected(fault); });
}

void upstream_connection::on_connected(const boost::system::error_code& fault)
{
    if (m_is_closed)
    {
        return;
    }
    if (fault)
    {
        fail(ports::transport_failure::not_connected);
        return;
    }
    m_connect_timer.cancel();
    m_is_connected = true;
    prepare_connection(m_socket, unacknowledged_timeout);
    send();
}

void upstream_connection::send()
{
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    asio::async_write(
        m_socket, asio::buffer(m_call.bytes),
        [self](const boost::system::error_code& fault, std::size_t bytes)
        { self->on_sent(fault, bytes); });
    // The answer can come before the request is sent whole.
    read();
}

void upstream_connection::on_sent(const boost::system::error_code& fault,
                                  std::size_t bytes)
{
    if (m_is_closed || m_listener == nullptr)
    {
        return;
    }
    // After a failed write the answer, or the lack of one, decides.
    m_is_sent = !fault && bytes == m_call.bytes.size();
}

void upstream_connection::read()
{
    if (m_is_reading || m_is_closed)
    {
        return;
    }
    m_is_reading = true;
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    m_socket.async_read_some(
        m_buffer.room(),
        [self](const boost::system::error_code& fault, std::size_t bytes)
        { self->on_read(fault, bytes); });
}

void upstream_connection::on_read(const boost::system::error_code& fault,
                                  std::size_t bytes)
{
    m_is_reading = false;
    if (m_is_closed)
    {
        return;
    }
    if (m_listener == nullptr)
    {
        // Idle: whatever comes now makes the connection unfit.
        close();
        return;
    }
    if (fault)
    {
        on_read_end(fault);
        return;
    }
    m_buffer.keep(bytes);
    parse();
}

void upstream_connection::on_read_end(const boost::system::error_code& fault)
{
    if (fault != asio::error::eof)
    {
        fail(ports::transport_failure::broken);
        return;
    }
    m_is_at_end = true;
    if (m_is_waiting_for_reader)
    {
        return;
    }
    parse();
}

void upstream_connection::parse()
{
    while (m_buffer.size() > 0 && !m_parser->is_done())
    {
        const boost::system::error_code fault = m_buffer.feed(*m_parser);
        if (fault == http::error::need_more)
        {
            break;
        }
        if (fault)
        {
            fail(m_is_head_passed ? ports::transport_failure::broken
                                  : ports::transport_failure::unreadable);
            return;
        }
    }
    if (m_is_at_end && !m_parser->is_done())
    {
        if (!m_parser->got_some())
        {
            fail(ports::transport_failure::broken);
            return;
        }
        boost::system::error_code fault;
        m_parser->put_eof(fault);
        if (fault || !m_parser->is_done())
        {
            fail(ports::transport_failure::broken);
            return;
        }
    }
    if (m_parser->is_header_done() && !m_is_head_passed && !m_is_skipping)
    {
        pass_head();
    }
    if (m_listener == nullptr || m_is_closed)
    {
        return;
    }
    if (pass_part())
    {
        return;
    }
    if (m_parser->is_done())
    {
        finish();
        return;
    }
    read();
}

bool upstream_connection::is_foreign() const
{
    if (m_call.echoed_field_name.empty())
    {
        return false;
    }
    const auto& message = m_parser->get();
    const auto echo = message.find(m_call.echoed_field_name);
    return echo != message.end() && echo->value() != m_call.echoed_field_value;
}

void upstream_connection::pass_head()
{
    if (is_foreign())
    {
        ++m_foreign_answers;
        if (m_foreign_answers > most_foreign_answers)
        {
            fail(ports::transport_failure::unreadable);
            return;
        }
        m_is_skipping = true;
        return;
    }
    m_is_head_passed = true;
    const std::shared_ptr<ports::call_listener> listener = m_listener;
    listener->on_head(head_of(m_parser->get()));
}

bool upstream_connection::pass_part()
{
    std::string& body = m_parser->get().body();
    if (m_is_skipping)
    {
        body.clear();
        return false;
    }
    if (body.empty() || !m_is_head_passed)
    {
        return false;
    }
    std::string part = std::exchange(body, std::string());
    m_is_waiting_for_reader = true;
    const std::shared_ptr<ports::call_listener> listener = m_listener;
    listener->on_part(std::move(part));
    return true;
}

void upstream_connection::read_more()
{
    if (m_listener == nullptr || m_is_closed || !m_is_waiting_for_reader)
    {
        return;
    }
    m_is_waiting_for_reader = false;
    // Not at once: the listener may ask from within `on_part`.
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    asio::post(m_pool.m_loop,
               [self]
               {
                   if (self->m_listener != nullptr && !self->m_is_closed)
                   {
                       self->parse();
                   }
               });
}

void upstream_connection::finish()
{
    if (m_is_skipping)
    {
        start_next_answer();
        parse();
        return;
    }
    const std::shared_ptr<ports::call_listener> listener =
        std::exchange(m_listener, nullptr);
    const bool is_exact = m_is_sent && m_buffer.size() == 0 && !m_is_at_end &&
                          m_foreign_answers == 0 && m_parser->keep_alive();
    const std::chrono::milliseconds max_idle = allowed_idle();
    if (is_exact && max_idle.count() > 0)
    {
        become_idle(max_idle);
    }
    else
    {
        close();
    }
    listener->on_end();
}

std::chrono::milliseconds upstream_connection::allowed_idle() const
{
    constexpr std::string_view name = "timeout=";
    const auto& message = m_parser->get();
    const std::string value(message[http::field::keep_alive]);
    const std::size_t found = value.find(name);
    if (found == std::string::npos)
    {
        return usual_idle;
    }
    std::int64_t seconds = 0;
    const char* start = value.data() + found + name.size();
    const auto [rest, fault] =
        std::from_chars(start, value.data() + value.size(), seconds);
    if (fault != std::errc() || rest == start)
    {
        return usual_idle;
    }
    // Half of it, since the upstream counts from an earlier moment.
    return std::chrono::milliseconds(std::chrono::seconds(seconds)) / 2;
}

void upstream_connection::become_idle(std::chrono::milliseconds max_idle)
{
    m_parser.reset();
    m_call = {};
    m_idle_since = m_pool.m_clock.steady_now();
    m_max_idle = max_idle;
    m_pool.keep(shared_from_this());
    // Notices when the upstream closes or sends what nobody asked for.
    read();
}

void upstream_connection::cancel()
{
    m_listener = nullptr;
    close();
}

void upstream_connection::fail(ports::transport_failure failure)
{
    if (m_is_closed)
    {
        return;
    }
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
    m_pool.drop(*this);
}

} // namespace turmeric::adapters
