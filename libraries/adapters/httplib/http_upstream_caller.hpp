#pragma once

#include "libraries/ports/upstream.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace turmeric::adapters
{

/// Calls upstreams over HTTP/1.1 and reuses idle connections. Thread safe.
class http_upstream_caller final : public ports::upstream_caller
{
public:
    /// Keeps at most `max_idle_connections` idle connections to each upstream.
    http_upstream_caller(std::chrono::milliseconds connect_timeout,
                         std::size_t max_idle_connections);

    ~http_upstream_caller() override;

    /// See `ports::upstream_caller`. Thread safe; blocks.
    result<ports::upstream_completion>
    send(const std::string& address, const ports::upstream_request& request,
         const ports::upstream_response_sink& sink) override;

private:
    class idle_client_pool;
    const std::chrono::milliseconds m_connect_timeout;
    std::unique_ptr<idle_client_pool> m_idle_clients;
};

} // namespace turmeric::adapters
