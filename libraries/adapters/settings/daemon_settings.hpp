#pragma once

#include "libraries/adapters/etcd/etcd_settings.hpp"
#include "libraries/adapters/httplib/http_server.hpp"
#include "libraries/core/json.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::adapters
{

/// The settings that all daemons have.
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

/// Returns the schema of a daemon's settings: the common properties and
/// `own_properties`. `server_port_key` is the key in `listen` for the port of
/// the daemon's HTTP server. `required` lists the keys that are required in
/// addition to the common ones. Thread safe.
[[nodiscard]] json make_daemon_schema(const json& own_properties,
                                      const std::string& server_port_key,
                                      const std::vector<std::string>& required);

/// Reads the common settings into `daemon`, and the listen address and TLS
/// files of the HTTP server into `server`. Precondition: `settings` satisfies a
/// schema of `make_daemon_schema`. Thread safe.
void read_daemon_settings(const json& settings,
                          const std::string& server_port_key,
                          daemon_settings& daemon,
                          http_server_settings& server);

/// Returns the settings for the client of the key-value service. Thread safe.
[[nodiscard]] etcd_settings store_settings_of(const daemon_settings& settings);

/// Returns an incarnation: the name with a random suffix, which differs for
/// each run of a daemon. Thread safe.
[[nodiscard]] std::string make_incarnation(const std::string& name);

} // namespace turmeric::adapters
