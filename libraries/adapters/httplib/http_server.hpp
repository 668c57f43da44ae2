#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/core/result.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmeric::adapters
{

/// Certificate and key files for TLS.
struct tls_files
{
    std::string certificate;
    std::string private_key;
};

/// The address, limits and timeouts of a server.
struct http_server_settings
{
    std::string host = "127.0.0.1";
    /// 0 binds any free port.
    int port = 0;
    std::size_t max_connections = 1200;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_headers = 64;
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    /// The longest time without data from a caller that is sending its request.
    std::chrono::milliseconds read_timeout{10'000};
    /// The longest time that writing one part of a response may block.
    std::chrono::milliseconds write_timeout{60'000};
    /// The kernel's send buffer, which limits how much of a response it holds
    /// for a caller that does not read.
    std::size_t send_buffer_bytes = std::size_t{64} * 1024;
    /// How long an idle connection is kept open.
    std::chrono::seconds keep_alive_timeout{5};
    /// Not set for plain HTTP.
    std::optional<tls_files> tls;
};

/// Returns the response to a request; runs on the connection's thread.
using http_handler = std::function<http_response(const http_request&)>;

/// An HTTP/1.1 server with a thread for each open connection. All requests
/// go to one handler. Thread safe except for construction.
class http_server
{
public:
    /// Precondition: `handler` is set and can run on many threads at a time.
    http_server(http_server_settings settings, http_handler handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Stops the server.
    ~http_server();

    /// Binds the address and starts to serve requests; returns the port. Error:
    /// `settings_invalid` for an address that cannot be bound, or for a
    /// certificate or key that cannot be used. Precondition: not started yet.
    /// Not thread safe.
    result<int> start();

    /// Accepts no new connections and returns when the requests in progress
    /// have finished. Thread safe.
    void stop();

    /// Returns the number of open connections. Thread safe.
    [[nodiscard]] std::size_t open_connections() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace turmeric::adapters
