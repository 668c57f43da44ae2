#pragma once

#include "libraries/adapters/httplib/http_server.hpp"
#include "libraries/adapters/settings/daemon_settings.hpp"
#include "libraries/core/json.hpp"
#include "libraries/drivers/requests/request_runner.hpp"
#include "libraries/drivers/responses/response_cache.hpp"
#include "libraries/drivers/traffic/traffic_control.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::router
{

/// A router's settings after validation against their schema.
struct router_settings : adapters::daemon_settings
{
    adapters::http_server_settings caller_server;
    /// Peer addresses to use if the platform is unavailable at the start.
    std::vector<std::string> seed_peers;
    drivers::traffic_limits traffic;
    drivers::response_cache_settings responses;
    drivers::slow_reader_limits slow_reader;
    /// Bytes of a prompt that count as one token in a hold.
    std::size_t bytes_per_token = 3;
    std::chrono::milliseconds connect_timeout{500};
    /// How long a stopping router waits for requests in flight, and then for
    /// bills and grants.
    std::chrono::milliseconds stop_timeout{30'000};
    /// How long callers are served after the router has left locate responses.
    std::chrono::milliseconds leave_time{5'000};
    std::chrono::seconds lease{10};
    std::int32_t budget_shards = 64;
    std::chrono::seconds grant_term{4'500};
    /// The maximum difference between the clocks of two VMs.
    std::chrono::seconds clock_skew{30};
    /// The minimum time between two writes of one budget shard.
    std::chrono::milliseconds write_interval{100};
    std::chrono::milliseconds hold_timeout{2'000};
    std::chrono::milliseconds bill_timeout{10'000};
};

/// Returns the JSON schema of the settings file. Thread safe.
[[nodiscard]] json router_settings_schema();

/// Reads settings. Precondition: `settings` satisfies the schema. Thread
/// safe.
[[nodiscard]] router_settings read_router_settings(const json& settings);

} // namespace turmeric::router
