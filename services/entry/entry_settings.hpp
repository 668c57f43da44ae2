#pragma once

#include "libraries/adapters/fmt/log_line.hpp"
#include "libraries/core/json.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/domain/membership/router_capacity.hpp"
#include "libraries/domain/move/service_rollout.hpp"
#include "libraries/drivers/exchange/traffic_settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace turmeric::entry
{

/// The settings of an entry VM's process, listed in docs/settings.md.
struct entry_settings
{
    std::string vm;
    std::string data_centre;
    /// The address to which callers connect, such as `10.0.0.1:8080`.
    std::string caller_address;
    std::string readiness_address;
    std::string directory_address;
    /// The address to which peers and the metrics collector connect.
    std::string peer_address;
    std::string store_address;
    /// The time limit of a graceful stop.
    std::chrono::milliseconds stop_timeout{8'000};
    /// The memory limit of the process, in bytes.
    std::int64_t memory_bytes = 256'000'000;
    /// The part of it that the traffic may hold, in bytes.
    std::int64_t traffic_memory_bytes = 0;
    /// What the VM can carry.
    domain::router_capacity capacity;
    /// The maximum number of callers' connections.
    std::size_t max_connections = 1'000;
    log_level min_log_level = log_level::info;
    adapters::log_format format = adapters::log_format::text;
    drivers::traffic_settings traffic;
    domain::rollout_settings rollouts;
};

/// Returns the JSON schema of the settings. Thread safe.
[[nodiscard]] json entry_settings_schema();

/// Reads the settings. Precondition: they conform to the schema. Thread safe.
[[nodiscard]] entry_settings read_entry_settings(const json& settings);

} // namespace turmeric::entry
