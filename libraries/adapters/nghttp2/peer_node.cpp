#include "libraries/adapters/nghttp2/peer_node.hpp"

#include "libraries/adapters/nghttp2/nonblocking_sockets.hpp"

#include <array>
#include <fcntl.h>
#include <future>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace turmeric::adapters
{

namespace
{

constexpr int poll_timeout_ms = 200;
constexpr std::size_t handler_thread_count = 32;

short poll_events_of(const http2_connection& connection)
{
    return static_cast<short>(connection.wants_write() ? POLLIN | POLLOUT
                                                       : POLLIN);
}

bool receive_and_flush(http2_connection& connection, ports::steady_time now)
{
    return connection.receive(now) && connection.flush();
}

} // namespace

peer_node::peer_node(const ports::clock& clock, ports::peer_handler handler)
    : m_clock(clock)
    , m_handler(std::move(handler))
    , m_handler_threads(handler_thread_count)
{
}

peer_node::~peer_node()
{
    stop();
}

result<int> peer_node::start(const std::string& host, int port)
{
    result<listening_socket> listener = open_listener(host, port);
    if (!listener)
    {
        return listener.failure();
    }
    m_listen_socket = listener.value().socket;
    std::array<int, 2> wake_pipe{};
    if (::pipe2(wake_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    {
        ::close(m_listen_socket);
        return error{result_code::settings_invalid, "listen",
                     "cannot create a pipe"};
    }
    m_wake_pipe_read = wake_pipe[0];
    m_wake_pipe_write = wake_pipe[1];
    m_io_thread = std::thread([this] { run(); });
    return listener.value().port;
}

void peer_node::stop()
{
    if (!m_io_thread.joinable())
    {
        return;
    }
    m_is_stopping = true;
    wake();
    m_io_thread.join();
    // The responses of running handlers are discarded, but their threads still
    // use this object.
    m_handler_threads.shut_down();
    ::close(m_listen_socket);
    ::close(m_wake_pipe_read);
    ::close(m_wake_pipe_write);
}

result<std::string> peer_node::call(const std::string& address,
                                    const ports::peer_message& message,
                                    std::chrono::milliseconds timeout)
{
    std::promise<result<std::string>> promise;
    std::future<result<std::string>> pending_response = promise.get_future();
    pending_call pending{address, message, m_clock.steady_now() + timeout,
                         [&promise](result<std::string> response)
                         { promise.set_value(std::move(response)); }};
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_is_stopping || !m_io_thread.joinable())
        {
            return error{result_code::peer_unavailable, "peer",
                         "this process is stopping"};
        }
        m_pending_calls.push_back(std::move(pending));
    }
    wake();
    // The I/O thread completes every call, by its deadline at the latest.
    return pending_response.get();
}

std::size_t peer_node::open_connections() const
{
    return m_open_connections;
}

void peer_node::run()
{
    while (!m_is_stopping)
    {
        poll_sockets();
        start_calls();
        send_responses();
        check_timeouts();
        m_open_connections =
            m_incoming_connections.size() + m_outgoing_connections.size();
    }
    m_incoming_connections.clear();
    m_outgoing_connections.clear();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (pending_call& pending : m_pending_calls)
    {
        pending.on_response(error{result_code::peer_unavailable, "peer",
                                  "this process is stopping"});
    }
    m_pending_calls.clear();
}

void peer_node::poll_sockets()
{
    std::vector<pollfd> poll_entries = {{m_listen_socket, POLLIN, 0},
                                        {m_wake_pipe_read, POLLIN, 0}};
    for (const auto& [connection_id, connection] : m_incoming_connections)
    {
        poll_entries.push_back(
            {connection->socket(), poll_events_of(*connection), 0});
    }
    for (const auto& [address, connection] : m_outgoing_connections)
    {
        poll_entries.push_back(
            {connection->socket(), poll_events_of(*connection), 0});
    }
    ::poll(poll_entries.data(), poll_entries.size(), poll_timeout_ms);

    std::array<char, 64> drained{};
    while (::read(m_wake_pipe_read, drained.data(), drained.size()) > 0)
    {
    }
    ports::steady_time now = m_clock.steady_now();
    constexpr std::size_t fixed_poll_entries = 2;
    std::size_t next_entry = fixed_poll_entries;
    for (auto it = m_incoming_connections.begin();
         it != m_incoming_connections.end(); ++next_entry)
    {
        bool is_alive = poll_entries[next_entry].revents == 0 ||
                        receive_and_flush(*it->second, now);
        it = is_alive ? std::next(it) : m_incoming_connections.erase(it);
    }
    for (auto it = m_outgoing_connections.begin();
         it != m_outgoing_connections.end(); ++next_entry)
    {
        bool is_alive = poll_entries[next_entry].revents == 0 ||
                        receive_and_flush(*it->second, now);
        it = is_alive ? std::next(it) : m_outgoing_connections.erase(it);
    }
    if (poll_entries[0].revents != 0)
    {
        accept_connections();
    }
}

void peer_node::accept_connections()
{
    while (true)
    {
        int accepted_socket = ::accept4(m_listen_socket, nullptr, nullptr,
                                        SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted_socket < 0)
        {
            return;
        }
        int on = 1;
        ::setsockopt(accepted_socket, IPPROTO_TCP, TCP_NODELAY, &on,
                     sizeof(on));
        std::uint64_t connection_id = m_next_connection_id++;
        auto listener = [this, connection_id](std::int32_t stream_id,
                                              ports::peer_message message)
        { dispatch_request(connection_id, stream_id, std::move(message)); };
        m_incoming_connections.emplace(connection_id,
                                       std::make_unique<http2_connection>(
                                           accepted_socket, http2_role::server,
                                           listener, m_clock.steady_now()));
    }
}

void peer_node::start_calls()
{
    std::deque<pending_call> calls;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        calls.swap(m_pending_calls);
    }
    for (pending_call& pending : calls)
    {
        http2_connection* connection = outgoing_connection_to(pending.address);
        if (connection == nullptr)
        {
            pending.on_response(error{result_code::peer_unavailable, "peer",
                                      pending.address + " cannot be reached"});
            continue;
        }
        connection->call(pending.message, pending.deadline,
                         std::move(pending.on_response));
        if (!connection->flush())
        {
            m_outgoing_connections.erase(pending.address);
        }
    }
}

void peer_node::send_responses()
{
    std::deque<ready_response> responses;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        responses.swap(m_ready_responses);
    }
    for (ready_response& ready : responses)
    {
        auto found = m_incoming_connections.find(ready.connection_id);
        if (found != m_incoming_connections.end())
        {
            found->second->respond(ready.stream_id, ready.response);
        }
    }
}

void peer_node::dispatch_request(std::uint64_t connection_id,
                                 std::int32_t stream_id,
                                 ports::peer_message message)
{
    auto queue_response =
        [this, connection_id, stream_id](result<std::string> response)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_ready_responses.push_back(
                {connection_id, stream_id, std::move(response)});
        }
        wake();
    };
    bool is_started = m_handler_threads.try_run(
        [this, queue_response, message = std::move(message)]
        { queue_response(m_handler(message)); });
    if (!is_started)
    {
        queue_response(error{result_code::peer_unavailable, "threads",
                             "all handler threads are busy"});
    }
}

void peer_node::wake()
{
    // A write to a full pipe fails, but the full pipe wakes the thread too.
    static_cast<void>(::write(m_wake_pipe_write, "x", 1) == 1);
}

void peer_node::check_timeouts()
{
    ports::steady_time now = m_clock.steady_now();
    for (auto it = m_incoming_connections.begin();
         it != m_incoming_connections.end();)
    {
        bool is_alive = it->second->check_timeouts(now) && it->second->flush();
        it = is_alive ? std::next(it) : m_incoming_connections.erase(it);
    }
    for (auto it = m_outgoing_connections.begin();
         it != m_outgoing_connections.end();)
    {
        bool is_alive = it->second->check_timeouts(now) && it->second->flush();
        it = is_alive ? std::next(it) : m_outgoing_connections.erase(it);
    }
}

http2_connection* peer_node::outgoing_connection_to(const std::string& address)
{
    auto found = m_outgoing_connections.find(address);
    if (found != m_outgoing_connections.end())
    {
        return found->second.get();
    }
    result<int> socket = start_connection(address);
    if (!socket)
    {
        return nullptr;
    }
    auto inserted = m_outgoing_connections.emplace(
        address, std::make_unique<http2_connection>(
                     socket.value(), http2_role::client,
                     peer_request_listener(), m_clock.steady_now()));
    return inserted.first->second.get();
}

} // namespace turmeric::adapters
