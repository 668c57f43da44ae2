#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::adapters
{

/// How to reach the key-value service.
struct etcd_settings
{
    /// "host:port" of each JSON gateway; tried in turn. At least one.
    std::vector<std::string> endpoints;
    std::chrono::milliseconds connect_timeout{500};
    /// The longest silence of a call before it counts as lost.
    std::chrono::milliseconds call_timeout{2'000};
    /// Idle connections kept for each endpoint.
    std::size_t max_idle_connections = 4;
};

} // namespace turmeric::adapters
