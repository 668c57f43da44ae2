#include "libraries/adapters/nghttp2/peer_node.hpp"

#include "libraries/adapters/nghttp2/socket_tools.hpp"

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

constexpr int poll_milliseconds = 200;
constexpr std::size_t answer_thread_count = 32;

short events_of(const http2_connection& connection)
{
    return static_cast<short>(connection.wants_write() ? POLLIN | POLLOUT
                                                       : POLLIN);
}

bool serve(http2_connection& connection, ports::steady_time now)
{
    return connection.receive(now) && connection.flush();
}

} // namespace

peer_node::peer_node(const ports::clock& clock, ports::peer_handler handler)
    : m_clock(clock)
    , m_handler(std::move(handler))
    , m_answer_threads(answer_thread_count)
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
    std::array<int, 2> wake{};
    if (::pipe2(wake.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    {
        ::close(m_listen_socket);
        return error{result_code::settings_invalid, "listen",
                     "no pipe can be made"};
    }
    m_wake_read = wake[0];
    m_wake_write = wake[1];
    m_thread = std::thread([this] { run(); });
    return listener.value().port;
}

void peer_node::stop()
{
    if (!m_thread.joinable())
    {
        return;
    }
    m_is_stopping = true;
    wake();
    m_thread.join();
    // Their answers go nowhere, but their threads still use this object.
    m_answer_threads.shut_down();
    ::close(m_listen_socket);
    ::close(m_wake_read);
    ::close(m_wake_write);
}

result<std::string> peer_node::call(const std::string& address,
                                    const ports::peer_message& message,
                                    std::chrono::milliseconds timeout)
{
    std::promise<result<std::string>> promise;
    std::future<result<std::string>> answer = promise.get_future();
    pending_call made{address, message, m_clock.steady_now() + timeout,
                      [&promise](result<std::string> reply)
                      { promise.set_value(std::move(reply)); }};
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_is_stopping || !m_thread.joinable())
        {
            return error{result_code::peer_unavailable, "peer",
                         "this process is stopping"};
        }
        m_calls.push_back(std::move(made));
    }
    wake();
    // The node's thread answers every call, by its deadline at the latest.
    return answer.get();
}

std::size_t peer_node::open_connections() const
{
    return m_open;
}

void peer_node::run()
{
    while (!m_is_stopping)
    {
        wait_for_traffic();
        start_calls();
        send_answers();
        check_times();
        m_open = m_incoming.size() + m_outgoing.size();
    }
    m_incoming.clear();
    m_outgoing.clear();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (pending_call& left : m_calls)
    {
        left.reply(error{result_code::peer_unavailable, "peer",
                         "this process is stopping"});
    }
    m_calls.clear();
}

void peer_node::wait_for_traffic()
{
    std::vector<pollfd> waits = {{m_listen_socket, POLLIN, 0},
                                 {m_wake_read, POLLIN, 0}};
    for (const auto& [number, connection] : m_incoming)
    {
        waits.push_back({connection->socket(), events_of(*connection), 0});
    }
    for (const auto& [address, connection] : m_outgoing)
    {
        waits.push_back({connection->socket(), events_of(*connection), 0});
    }
    ::poll(waits.data(), waits.size(), poll_milliseconds);

    std::array<char, 64> drained{};
    while (::read(m_wake_read, drained.data(), drained.size()) > 0)
    {
    }
    ports::steady_time now = m_clock.steady_now();
    constexpr std::size_t fixed_waits = 2;
    std::size_t next = fixed_waits;
    for (auto it = m_incoming.begin(); it != m_incoming.end(); ++next)
    {
        bool is_alive = waits[next].revents == 0 || serve(*it->second, now);
        it = is_alive ? std::next(it) : m_incoming.erase(it);
    }
    for (auto it = m_outgoing.begin(); it != m_outgoing.end(); ++next)
    {
        bool is_alive = waits[next].revents == 0 || serve(*it->second, now);
        it = is_alive ? std::next(it) : m_outgoing.erase(it);
    }
    if (waits[0].revents != 0)
    {
        accept_connections();
    }
}

void peer_node::accept_connections()
{
    while (true)
    {
        int made = ::accept4(m_listen_socket, nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (made < 0)
        {
            return;
        }
        int on = 1;
        ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::uint64_t number = m_next_connection++;
        auto listener =
            [this, number](std::int32_t stream, ports::peer_message message)
        { answer(number, stream, std::move(message)); };
        m_incoming.emplace(number, std::make_unique<http2_connection>(
                                       made, http2_role::server, listener,
                                       m_clock.steady_now()));
    }
}

void peer_node::start_calls()
{
    std::deque<pending_call> calls;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        calls.swap(m_calls);
    }
    for (pending_call& next : calls)
    {
        http2_connection* connection = connection_to(next.address);
        if (connection == nullptr)
        {
            next.reply(error{result_code::peer_unavailable, "peer",
                             next.address + " cannot be reached"});
            continue;
        }
        connection->call(next.message, next.deadline, std::move(next.reply));
        if (!connection->flush())
        {
            m_outgoing.erase(next.address);
        }
    }
}

void peer_node::send_answers()
{
    std::deque<ready_answer> answers;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        answers.swap(m_answers);
    }
    for (ready_answer& ready : answers)
    {
        auto found = m_incoming.find(ready.connection);
        if (found != m_incoming.end())
        {
            found->second->respond(ready.stream, ready.answer);
        }
    }
}

void peer_node::answer(std::uint64_t connection, std::int32_t stream,
                       ports::peer_message message)
{
    auto put_back = [this, connection, stream](result<std::string> made)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_answers.push_back({connection, stream, std::move(made)});
        }
        wake();
    };
    bool is_started =
        m_answer_threads.try_run([this, put_back, message = std::move(message)]
                                 { put_back(m_handler(message)); });
    if (!is_started)
    {
        put_back(error{result_code::peer_unavailable, "threads",
                       "this process is busy"});
    }
}

void peer_node::wake()
{
    // A full pipe wakes the thread as well.
    static_cast<void>(::write(m_wake_write, "x", 1) == 1);
}

void peer_node::check_times()
{
    ports::steady_time now = m_clock.steady_now();
    for (auto it = m_incoming.begin(); it != m_incoming.end();)
    {
        bool is_alive = it->second->check_time(now) && it->second->flush();
        it = is_alive ? std::next(it) : m_incoming.erase(it);
    }
    for (auto it = m_outgoing.begin(); it != m_outgoing.end();)
    {
        bool is_alive = it->second->check_time(now) && it->second->flush();
        it = is_alive ? std::next(it) : m_outgoing.erase(it);
    }
}

http2_connection* peer_node::connection_to(const std::string& address)
{
    auto found = m_outgoing.find(address);
    if (found != m_outgoing.end())
    {
        return found->second.get();
    }
    result<int> socket = open_connection(address);
    if (!socket)
    {
        return nullptr;
    }
    auto made = m_outgoing.emplace(
        address, std::make_unique<http2_connection>(
                     socket.value(), http2_role::client,
                     peer_request_listener(), m_clock.steady_now()));
    return made.first->second.get();
}

} // namespace turmeric::adapters
