#include "libraries/adapters/asio/caller_server.hpp"

#include "libraries/adapters/asio/caller_connection.hpp"
#include "libraries/adapters/asio/socket_options.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace turmeric::adapters
{

namespace
{

/// Delay before the next accept when one fails, for example because the
/// process has no free file descriptor.
constexpr std::chrono::milliseconds accept_retry_delay{20};
constexpr std::chrono::milliseconds unacknowledged_timeout{5'000};
/// Connections that may wait for memory; what their callers have sent meanwhile
/// stays in the buffers of the kernel.
constexpr std::size_t max_memory_waiters = 64;
constexpr std::chrono::seconds unread_check_interval{5};
/// A caller sends its request as soon as it is connected. If there is no room
/// for a connection, those that have sent nothing for longer make room.
constexpr std::chrono::seconds min_unused_time{1};

} // namespace

caller_server::caller_server(asio::io_context& loop, const ports::clock& clock,
                             ports::request_handler& request_handler,
                             caller_server_settings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_request_handler(request_handler)
    , m_settings(std::move(settings))
    , m_listener(loop)
    , m_accept_retry_timer(loop)
    , m_memory_timer(loop)
    , m_unread_timer(loop)
{
    if (m_settings.memory != nullptr)
    {
        m_settings.memory->set_release_handler([this] { schedule_resume(); });
    }
}

caller_server::~caller_server()
{
    if (m_settings.memory != nullptr)
    {
        m_settings.memory->set_release_handler(nullptr);
    }
}

bool caller_server::add_memory_waiter(
    const std::shared_ptr<caller_connection>& connection)
{
    if (m_memory_waiters.size() >= max_memory_waiters)
    {
        return false;
    }
    m_memory_waiters.push_back(connection);
    return true;
}

void caller_server::remove_memory_waiter(const caller_connection& connection)
{
    std::erase_if(m_memory_waiters,
                  [&](const std::shared_ptr<caller_connection>& waiting)
                  { return waiting.get() == &connection; });
    schedule_resume();
}

bool caller_server::has_memory_waiters() const
{
    return !m_memory_waiters.empty();
}

void caller_server::schedule_resume()
{
    if (m_memory_waiters.empty() || m_is_resume_scheduled)
    {
        return;
    }
    m_is_resume_scheduled = true;
    m_memory_timer.set(std::chrono::milliseconds::zero(),
                       [this] { resume_memory_waiters(); });
}

void caller_server::resume_memory_waiters()
{
    m_is_resume_scheduled = false;
    while (!m_memory_waiters.empty())
    {
        const std::shared_ptr<caller_connection> first =
            std::move(m_memory_waiters.front());
        m_memory_waiters.pop_front();
        if (!first->resume_reading())
        {
            m_memory_waiters.push_front(first);
            return;
        }
    }
}

status caller_server::start()
{
    result<tcp::acceptor> listener = listen_on(m_loop, m_settings.address);
    if (!listener)
    {
        return listener.failure();
    }
    m_listener = std::move(listener.value());
    accept_next();
    return success();
}

void caller_server::set_limits(const domain::caller_limits& limits)
{
    m_limits = limits;
}

void caller_server::disable_keep_alive()
{
    m_is_keep_alive_enabled = false;
}

void caller_server::set_keeping(bool is_keeping)
{
    m_is_keeping = is_keeping;
}

bool caller_server::may_keep_alive() const
{
    return m_is_keep_alive_enabled && m_is_keeping;
}

void caller_server::set_close_handler(
    std::function<void(ports::close_reason reason, bool is_in_request)> handler)
{
    m_close_handler = std::move(handler);
}

void caller_server::set_write_handler(
    std::function<void(std::chrono::nanoseconds waited)> handler)
{
    m_write_handler = std::move(handler);
}

std::size_t caller_server::open_connections() const
{
    return m_connections.size();
}

std::size_t caller_server::unwritten_responses() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const std::shared_ptr<caller_connection>& connection)
                      { return connection->has_unwritten_bytes(); }));
}

void caller_server::close_connection_with_most_bytes_ahead()
{
    const auto largest = std::max_element(
        m_connections.begin(), m_connections.end(),
        [](const std::shared_ptr<caller_connection>& one,
           const std::shared_ptr<caller_connection>& other)
        { return one->bytes_sent_ahead() < other->bytes_sent_ahead(); });
    if (largest == m_connections.end() || (*largest)->bytes_sent_ahead() == 0)
    {
        return;
    }
    (*largest)->close_to_free_resources();
}

void caller_server::close_oldest_unused_connection()
{
    const ports::steady_time now = m_clock.steady_now();
    std::shared_ptr<caller_connection> oldest;
    for (const std::shared_ptr<caller_connection>& connection : m_connections)
    {
        if (now - connection->accepted_at() >= min_unused_time &&
            (oldest == nullptr ||
             connection->accepted_at() < oldest->accepted_at()) &&
            connection->is_unused())
        {
            oldest = connection;
        }
    }
    if (oldest != nullptr)
    {
        oldest->close_to_free_resources();
    }
}

void caller_server::close_unread_connections()
{
    const std::vector<std::shared_ptr<caller_connection>> connections(
        m_connections.begin(), m_connections.end());
    for (const std::shared_ptr<caller_connection>& connection : connections)
    {
        connection->close_if_unread();
    }
    m_is_unread_timer_set = !m_connections.empty();
    if (m_is_unread_timer_set)
    {
        m_unread_timer.set(unread_check_interval,
                           [this] { close_unread_connections(); });
    }
}

bool caller_server::has_room_for_connection() const
{
    return m_connections.size() < m_settings.max_connections &&
           (m_settings.memory == nullptr ||
            m_settings.memory->has_room(0, connection_bytes));
}

void caller_server::accept_next()
{
    m_listener.async_accept(
        [this](const boost::system::error_code& error_code, tcp::socket socket)
        { on_accepted(error_code, std::move(socket)); });
}

void caller_server::on_accepted(const boost::system::error_code& error_code,
                                tcp::socket socket)
{
    if (error_code == asio::error::operation_aborted)
    {
        return;
    }
    if (error_code)
    {
        m_accept_retry_timer.set(accept_retry_delay, [this] { accept_next(); });
        return;
    }
    if (!has_room_for_connection())
    {
        close_oldest_unused_connection();
    }
    if (!has_room_for_connection())
    {
        // A reset before any byte is read tells the caller at once that it can
        // safely try another address.
        reset_connection(socket);
        accept_next();
        return;
    }
    set_connection_options(socket, unacknowledged_timeout);
    const std::shared_ptr<caller_connection> connection =
        std::make_shared<caller_connection>(*this, std::move(socket));
    m_connections.insert(connection);
    if (!m_is_unread_timer_set)
    {
        m_is_unread_timer_set = true;
        m_unread_timer.set(unread_check_interval,
                           [this] { close_unread_connections(); });
    }
    connection->start();
    accept_next();
}

} // namespace turmeric::adapters
