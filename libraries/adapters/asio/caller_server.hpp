#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/ports/caller_channel.hpp"
#include "libraries/ports/clock.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_set>

namespace turmeric::adapters
{

class caller_connection;

/// How a server treats its connections.
struct caller_server_settings
{
    /// As `10.0.0.1:8080`.
    std::string address;
    std::size_t max_connections = 1'000;
};

/// Accepts callers' connections and reads their requests, with the limits in
/// force when each request begins. Used on its loop's thread only.
class caller_server
{
public:
    /// Precondition: `loop`, `clock` and `request_handler` outlive the server.
    caller_server(asio::io_context& loop, const ports::clock& clock,
                  ports::request_acceptor& request_handler,
                  caller_server_settings settings);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Starts to accept. Errors: `settings_invalid`.
    status start();

    /// Sets the limits for requests that begin from now on.
    void set_limits(const domain::caller_limits& limits);

    /// Asks callers to go elsewhere: answers end with their connection.
    void disable_keep_alive();

    /// Returns how many connections are open.
    [[nodiscard]] std::size_t open_connections() const;

private:
    friend class caller_connection;

    void accept_next();
    void on_accepted(const boost::system::error_code& error_code,
                     tcp::socket socket);

    asio::io_context& m_loop;
    const ports::clock& m_clock;
    ports::request_acceptor& m_acceptor;
    caller_server_settings m_settings;
    domain::caller_limits m_limits;
    bool m_is_keep_alive_enabled = true;
    tcp::acceptor m_listener;
    asio::steady_timer m_accept_retry_timer;
    std::unordered_set<std::shared_ptr<caller_connection>> m_connections;
};

} // namespace turmeric::adapters
