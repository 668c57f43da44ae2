#pragma once

#include "libraries/adapters/etcd/etcd_settings.hpp"
#include "libraries/adapters/httplib/http_server.hpp"
#include "libraries/core/json.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::adapters
{

/// What the settings of all daemons have in common.
struct daemon_settings
{
    std::string name;
    std::string vm;
    std::string data_centre;
    std::string log_level;
    std::string log_format;
    std::vector<std::string> key_value_addresses;
    std::string vm_list_address;
    std::chrono::milliseconds platform_timeout{1'000};
    std::string peer_host;
    int peer_port = 0;
};

/// Makes a daemon's schema of its own properties. `server_port_key` names the
/// port of its HTTP server in `listen`; `required` adds to what each daemon
/// needs. Thread safe.
[[nodiscard]] json make_daemon_schema(const json& own_properties,
                                      const std::string& server_port_key,
                                      const std::vector<std::string>& required);

/// Reads the common part, and where the HTTP server listens. Precondition:
/// `settings` satisfies a schema of `make_daemon_schema`. Thread safe.
void read_daemon_settings(const json& settings,
                          const std::string& server_port_key,
                          daemon_settings& daemon,
                          http_server_settings& server);

/// Returns the settings of the key-value service's adapter. Thread safe.
[[nodiscard]] etcd_settings store_settings_of(const daemon_settings& settings);

/// Returns a name that no other run of a daemon has. Thread safe.
[[nodiscard]] std::string make_incarnation(const std::string& name);

} // namespace turmeric::adapters
