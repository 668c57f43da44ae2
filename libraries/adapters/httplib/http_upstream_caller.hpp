#pragma once

#include "libraries/ports/upstream.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace turmeric::adapters
{

/// Calls upstreams over HTTP/1.1 and keeps idle connections. Thread safe.
class http_upstream_caller final : public ports::upstream_caller
{
public:
    /// Keeps at most `most_idle` idle connections to each upstream.
    http_upstream_caller(std::chrono::milliseconds connect_timeout,
                         std::size_t most_idle);

    ~http_upstream_caller() override;

    /// See `ports::upstream_caller`. Thread safe; blocks.
    result<ports::upstream_completion>
    send(const std::string& address, const ports::upstream_request& request,
         const ports::upstream_response_sink& sink) override;

private:
    class idle_clients;
    const std::chrono::milliseconds m_connect_timeout;
    std::unique_ptr<idle_clients> m_idle;
};

} // namespace turmeric::adapters
