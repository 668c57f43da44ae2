#pragma once

#include "standins/common/socket_stream.hpp"

#include <httplib.h>

#include <cstddef>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace turmeric::standins
{

/// The HTTP library's server with access to each connection's socket, so that
/// a stand-in can drop replies and detect that a caller disconnects. Register
/// handlers before `start`. Call `start` and `shut_down` from one thread.
class http_server final : public httplib::Server
{
public:
    /// `threads` is the maximum number of connections served at the same time.
    explicit http_server(std::size_t threads)
    {
        new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        set_tcp_nodelay(true);
        set_keep_alive_timeout(keep_alive_timeout.count());
        set_keep_alive_max_count(max_requests_per_connection);
        set_socket_options([this](socket_t socket)
                           { prepare_listen_socket(socket); });
    }

    /// Precondition: `shut_down` was called if `start` succeeded.
    ~http_server() override = default;

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds `host` and `port` and serves on a separate thread. Port 0 selects
    /// any free port. Returns the bound port, or nothing if the server cannot
    /// listen on the address.
    std::optional<int> start(const std::string& host, int port)
    {
        const int bound_port = port == 0 ? bind_to_any_port(host)
                               : bind_to_port(host, port) ? port
                                                          : -1;
        // The library's listen backlog is too short for a burst of callers.
        if (bound_port <= 0 || ::listen(m_listen_socket, listen_backlog) != 0)
        {
            return std::nullopt;
        }
        m_thread = std::thread([this] { listen_after_bind(); });
        while (!is_running())
        {
            std::this_thread::yield();
        }
        return bound_port;
    }

    /// Shuts down every connection and waits for the handlers to return.
    void shut_down()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_is_stopping = true;
            for (const socket_t socket : m_open_sockets)
            {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        stop();
        if (m_thread.joinable())
        {
            m_thread.join();
        }
    }

    /// Returns the connection whose request the calling thread handles.
    /// Precondition: called from a handler. Thread safe.
    [[nodiscard]] static socket_stream& current_connection()
    {
        return *current_connection_pointer();
    }

    /// Returns the counters of bytes received and sent. Thread safe.
    [[nodiscard]] const traffic_counter& traffic() const
    {
        return m_traffic;
    }

private:
    static constexpr int listen_backlog = 1'024;
    static constexpr std::chrono::seconds keep_alive_timeout{30};
    static constexpr std::size_t max_requests_per_connection = 1'000'000;

    static socket_stream*& current_connection_pointer()
    {
        thread_local socket_stream* current_connection = nullptr;
        return current_connection;
    }

    void prepare_listen_socket(socket_t socket)
    {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        m_listen_socket = socket;
    }

    bool add_open_socket(socket_t socket)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_open_sockets.insert(socket);
        return !m_is_stopping;
    }

    void close_socket(socket_t socket)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_open_sockets.erase(socket);
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
    }

    bool process_and_close_socket(socket_t socket) override
    {
        if (add_open_socket(socket))
        {
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            socket_stream stream(socket, m_traffic);
            current_connection_pointer() = &stream;
            serve_connection(stream);
            current_connection_pointer() = nullptr;
        }
        close_socket(socket);
        return true;
    }

    void serve_connection(socket_stream& stream)
    {
        bool is_closed = false;
        while (!is_closed && stream.wait_readable(keep_alive_timeout))
        {
            const bool is_served =
                process_request(stream, false, is_closed, nullptr);
            const bool is_complete =
                stream.consume_reply_written() || is_served;
            // The library does not stop after a failed write.
            if (!is_complete || stream.is_dropped())
            {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::set<socket_t> m_open_sockets;
    bool m_is_stopping = false;
    socket_t m_listen_socket = INVALID_SOCKET;
    traffic_counter m_traffic;
    std::thread m_thread;
};

} // namespace turmeric::standins
