#pragma once

#include "libraries/adapters/httplib/http_server.hpp"
#include "libraries/adapters/settings/daemon_settings.hpp"
#include "libraries/core/json.hpp"
#include "libraries/drivers/answers/answer_store.hpp"
#include "libraries/drivers/requests/request_runner.hpp"
#include "libraries/drivers/traffic/traffic_control.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::router
{

/// A router's settings, as checked against their schema.
struct router_settings : adapters::daemon_settings
{
    adapters::http_server_settings caller_server;
    /// Peer addresses to ask when the platform is out at the start.
    std::vector<std::string> seed_peers;
    drivers::traffic_limits traffic;
    drivers::answer_store_settings responses;
    drivers::runner_patience slow_reader;
    /// Bytes of a prompt that count as one token in a hold.
    std::size_t bytes_per_token = 3;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds stop_timeout{30'000};
    /// How long callers are still served after leaving locate answers.
    std::chrono::milliseconds leave_time{5'000};
    std::chrono::seconds lease{10};
    std::int32_t budget_shards = 64;
    std::chrono::seconds grant_term{4'500};
    /// The most that two VMs' clocks may differ.
    std::chrono::seconds clock_skew{30};
    /// The least time between two writes of one budget shard.
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
