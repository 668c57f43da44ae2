#pragma once

#include "libraries/adapters/httplib/http_server.hpp"
#include "libraries/adapters/settings/daemon_settings.hpp"
#include "libraries/core/json.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::controller
{

/// A controller's settings after validation against their schema.
struct controller_settings : adapters::daemon_settings
{
    adapters::http_server_settings operator_server;
    std::vector<std::string> operator_key_digests;
    std::int32_t budget_shards = 64;
    /// The maximum duration of a request. A frozen grant is kept for this time.
    std::chrono::seconds freeze_time{600};
    /// The maximum difference between the clocks of two VMs.
    std::chrono::seconds clock_skew{60};
    std::chrono::seconds lease{6};
};

/// Returns the JSON schema of the settings file. Thread safe.
[[nodiscard]] json controller_settings_schema();

/// Reads settings. Precondition: `settings` satisfies the schema. Thread
/// safe.
[[nodiscard]] controller_settings
read_controller_settings(const json& settings);

} // namespace turmeric::controller
