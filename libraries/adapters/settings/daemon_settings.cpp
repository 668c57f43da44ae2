#include "libraries/adapters/settings/daemon_settings.hpp"

#include "libraries/adapters/openssl/digests.hpp"
#include "libraries/adapters/settings/daemon_options.hpp"

namespace turmeric::adapters
{

namespace
{

constexpr std::size_t incarnation_bytes = 6;

json make_listen_schema(const std::string& server_port_key)
{
    json port = {{"type", "integer"}, {"minimum", 0}, {"maximum", 65535}};
    json listen = json::parse(R"({
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "host": {"type": "string", "minLength": 1},
            "tls": {
                "type": "object",
                "additionalProperties": false,
                "required": ["certificate", "private_key"],
                "properties": {
                    "certificate": {"type": "string"},
                    "private_key": {"type": "string"}
                }
            }
        }
    })");
    listen["required"] = {"host", server_port_key, "peer_port"};
    listen["properties"][server_port_key] = port;
    listen["properties"]["peer_port"] = port;
    return listen;
}

} // namespace

json make_daemon_schema(const json& own_properties,
                        const std::string& server_port_key,
                        const std::vector<std::string>& required)
{
    json properties = common_settings_properties();
    properties["listen"] = make_listen_schema(server_port_key);
    properties.update(own_properties);
    json required_keys = {"name", "vm", "data_centre", "platform", "listen"};
    for (const std::string& name : required)
    {
        required_keys.push_back(name);
    }
    return {{"type", "object"},
            {"additionalProperties", false},
            {"required", required_keys},
            {"properties", properties}};
}

void read_daemon_settings(const json& settings,
                          const std::string& server_port_key,
                          daemon_settings& daemon, http_server_settings& server)
{
    daemon.name = settings.at("name").get<std::string>();
    daemon.vm = settings.at("vm").get<std::string>();
    daemon.data_centre = settings.at("data_centre").get<std::string>();
    json log = settings.value("log", json::object());
    daemon.log_level = log.value("level", "info");
    daemon.log_format = log.value("format", "text");
    const json& platform = settings.at("platform");
    daemon.key_value_addresses =
        platform.at("key_value").get<std::vector<std::string>>();
    daemon.vm_list_address = platform.at("vm_list").get<std::string>();
    daemon.platform_timeout = std::chrono::milliseconds(
        platform.value("timeout_ms", daemon.platform_timeout.count()));
    const json& listen = settings.at("listen");
    server.host = listen.at("host").get<std::string>();
    server.port = listen.at(server_port_key).get<int>();
    daemon.peer_host = server.host;
    daemon.peer_port = listen.at("peer_port").get<int>();
    if (listen.contains("tls"))
    {
        const json& tls = listen.at("tls");
        server.tls = tls_files{tls.at("certificate").get<std::string>(),
                               tls.at("private_key").get<std::string>()};
    }
}

etcd_settings store_settings_of(const daemon_settings& settings)
{
    etcd_settings store_settings;
    store_settings.endpoints = settings.key_value_addresses;
    store_settings.call_timeout = settings.platform_timeout;
    return store_settings;
}

std::string make_incarnation(const std::string& name)
{
    return name + "-" + random_hex(incarnation_bytes);
}

} // namespace turmeric::adapters
