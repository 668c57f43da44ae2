#pragma once

#include "libraries/adapters/nghttp2/http2_connection.hpp"
#include "libraries/drivers/threads/thread_pool.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/peer.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace turmeric::adapters
{

/// The client and server of the HTTP/2 connections between the system's
/// processes. One thread owns all connections, and a pool of threads runs the
/// handler. A connection is kept open, pinged when the peer sends nothing, and
/// closed when the peer still sends nothing. Thread safe.
class peer_node final : public ports::peer_caller
{
public:
    /// Precondition: `handler` is set and thread safe; it may block. `clock`
    /// outlives this.
    peer_node(const ports::clock& clock, ports::peer_handler handler);

    peer_node(const peer_node&) = delete;
    peer_node& operator=(const peer_node&) = delete;

    /// Stops the node.
    ~peer_node() override;

    /// Listens on `host` and `port` (0: any free port) and starts the I/O
    /// thread; returns the port. Error: `settings_invalid`. Not thread safe.
    result<int> start(const std::string& host, int port);

    /// Closes all connections and ends all threads. Not thread safe.
    void stop();

    /// See `ports::peer_caller`. Precondition: not called from the handler.
    /// Thread safe; blocks.
    result<std::string> call(const std::string& address,
                             const ports::peer_message& message,
                             std::chrono::milliseconds timeout) override;

    /// Returns the number of open connections. Thread safe.
    [[nodiscard]] std::size_t open_connections() const;

private:
    struct pending_call
    {
        std::string address;
        ports::peer_message message;
        ports::steady_time deadline;
        peer_response_callback on_response;
    };

    struct ready_response
    {
        std::uint64_t connection_id = 0;
        std::int32_t stream_id = 0;
        result<std::string> response;
    };

    using connection_pointer = std::unique_ptr<http2_connection>;

    void run();
    void poll_sockets();
    void accept_connections();
    void start_calls();
    void send_responses();
    void dispatch_request(std::uint64_t connection_id, std::int32_t stream_id,
                          ports::peer_message message);
    void wake();
    void check_timeouts();
    http2_connection* outgoing_connection_to(const std::string& address);

    const ports::clock& m_clock;
    const ports::peer_handler m_handler;
    int m_listen_socket = -1;
    int m_wake_pipe_read = -1;
    int m_wake_pipe_write = -1;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<std::size_t> m_open_connections{0};
    std::mutex m_mutex;
    std::deque<pending_call> m_pending_calls;
    std::deque<ready_response> m_ready_responses;
    std::uint64_t m_next_connection_id = 1;
    std::map<std::uint64_t, connection_pointer> m_incoming_connections;
    std::map<std::string, connection_pointer> m_outgoing_connections;
    drivers::thread_pool m_handler_threads;
    std::thread m_io_thread;
};

} // namespace turmeric::adapters
