#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::adapters
{

/// Endpoints, timeouts and connection limit for the key-value service.
struct etcd_settings
{
    /// "host:port" of each JSON gateway, tried in turn. Holds at least one.
    std::vector<std::string> endpoints;
    std::chrono::milliseconds connect_timeout{500};
    /// The longest time without data from the service before a call fails.
    std::chrono::milliseconds call_timeout{2'000};
    /// Idle connections kept for reuse, for each endpoint.
    std::size_t max_idle_connections = 4;
};

} // namespace turmeric::adapters
