#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/one_shot_timer.hpp"
#include "libraries/core/memory_budget.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/capacity/link_meter.hpp"
#include "libraries/ports/caller_channel.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace turmeric::adapters
{

class caller_connection;

/// Settings of a server for callers' connections.
struct caller_server_settings
{
    /// IPv4 address and port to listen on, such as `10.0.0.1:8080`.
    std::string address;
    /// Connections above this number are reset when they are accepted.
    std::size_t max_connections = 1'000;
    /// Bounds what the connections hold; null for no bound. Used on the thread
    /// of the server's event loop only, and outlives the server.
    memory_budget* memory = nullptr;
    /// Measures what the connections read and write; may be null. Used on the
    /// thread of the server's event loop only, and outlives the server.
    domain::link_meter* meter = nullptr;
};

/// Accepts callers' connections and reads their requests, within the limits
/// that `set_limits` sets. Used on the thread of its event loop only.
class caller_server
{
public:
    /// What a connection takes beside its messages: the object with its
    /// buffers.
    static constexpr std::int64_t connection_bytes = 16 << 10;

    /// Precondition: `loop`, `clock` and `request_handler` outlive the server.
    caller_server(asio::io_context& loop, const ports::clock& clock,
                  ports::request_handler& request_handler,
                  caller_server_settings settings);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Listens and starts to accept connections. Errors: `settings_invalid` if
    /// the address is malformed or cannot be listened on.
    status start();

    /// Sets the limits for requests whose first bytes are read after this call.
    /// A connection that already waits for a request stays open at least as
    /// long as its last response announced, or longer if the new limit is.
    void set_limits(const domain::caller_limits& limits);

    /// Closes each connection after its next response, which announces it by
    /// `Connection: close`, so that callers connect to another process.
    void disable_keep_alive();

    /// Sets whether connections are closed after their next response for now,
    /// so that callers choose other routers.
    void set_keeping(bool is_keeping);

    /// Sets what is called as a connection ends, with the reason and whether
    /// the first bytes of a request had been read whose response was not
    /// written completely. Precondition: not called from `handler`.
    void set_close_handler(
        std::function<void(ports::close_reason reason, bool is_in_request)>
            handler);

    /// Sets what is called when bytes of a response have been written, with
    /// the time that they waited for it. Precondition: not called from
    /// `handler`.
    void set_write_handler(
        std::function<void(std::chrono::nanoseconds waited)> handler);

    /// Returns whether connections stay open after a response.
    [[nodiscard]] bool may_keep_alive() const;

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t open_connections() const;

    /// Returns the number of connections with response bytes that are not
    /// written yet.
    [[nodiscard]] std::size_t unwritten_responses() const;

private:
    friend class caller_connection;

    /// Adds a connection to those that wait for the memory of a body. Returns
    /// false if too many wait.
    bool
    add_memory_waiter(const std::shared_ptr<caller_connection>& connection);
    /// Removes a connection that waits no longer. Without effect on others.
    void remove_memory_waiter(const caller_connection& connection);
    /// Returns whether a connection waits for the memory of a body.
    [[nodiscard]] bool has_memory_waiters() const;
    /// Calls `resume_memory_waiters` soon if a connection waits.
    void schedule_resume();
    /// Lets the connections that wait for memory go on, in the order of their
    /// arrival, as far as there is room.
    void resume_memory_waiters();

    /// Closes the connection whose caller has sent the most ahead of the
    /// responses, if one has.
    void close_connection_with_most_bytes_ahead();
    /// Closes the connection that was accepted first of those that have sent
    /// nothing for a while, if there is one.
    void close_oldest_unused_connection();
    /// Closes the connections whose callers read no response, now and from time
    /// to time while there are connections.
    void close_unread_connections();
    /// Returns whether there is room for one more connection.
    [[nodiscard]] bool has_room_for_connection() const;

    void accept_next();
    void on_accepted(const boost::system::error_code& error_code,
                     tcp::socket socket);

    asio::io_context& m_loop;
    const ports::clock& m_clock;
    ports::request_handler& m_request_handler;
    caller_server_settings m_settings;
    domain::caller_limits m_limits;
    std::function<void(ports::close_reason, bool)> m_close_handler;
    std::function<void(std::chrono::nanoseconds)> m_write_handler;
    bool m_is_keep_alive_enabled = true;
    bool m_is_keeping = true;
    tcp::acceptor m_listener;
    one_shot_timer m_accept_retry_timer;
    /// Expires at once after memory was given back, since waiting connections
    /// cannot go on within the call that gives it back.
    one_shot_timer m_memory_timer;
    one_shot_timer m_unread_timer;
    bool m_is_unread_timer_set = false;
    std::deque<std::shared_ptr<caller_connection>> m_memory_waiters;
    bool m_is_resume_scheduled = false;
    std::unordered_set<std::shared_ptr<caller_connection>> m_connections;
};

} // namespace turmeric::adapters
