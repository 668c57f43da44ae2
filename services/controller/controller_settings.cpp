#include "services/controller/controller_settings.hpp"

#include "libraries/adapters/settings/daemon_options.hpp"

namespace turmeric::controller
{

namespace
{

constexpr const char* own_properties = R"({
    "listen": {
        "type": "object",
        "additionalProperties": false,
        "required": ["host", "operator_port", "peer_port"],
        "properties": {
            "host": {"type": "string", "minLength": 1},
            "operator_port": {
                "type": "integer", "minimum": 0, "maximum": 65535
            },
            "peer_port": {"type": "integer", "minimum": 0, "maximum": 65535},
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
    },
    "operators": {
        "type": "object",
        "additionalProperties": false,
        "required": ["key_digests"],
        "properties": {
            "key_digests": {
                "type": "array", "minItems": 1,
                "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"}
            }
        }
    },
    "budgets": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "shards": {"type": "integer", "minimum": 1, "maximum": 1000},
            "freeze_s": {"type": "integer", "minimum": 1},
            "clock_skew_s": {"type": "integer", "minimum": 0}
        }
    },
    "limits": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "connections": {
                "type": "integer", "minimum": 1, "maximum": 1000
            },
            "body_bytes": {"type": "integer", "minimum": 1024}
        }
    },
    "lease_s": {"type": "integer", "minimum": 3, "maximum": 300}
})";

constexpr std::size_t default_connections = 64;

void read_listen(const json& listen, controller_settings& read)
{
    read.operator_server.host = listen.at("host").get<std::string>();
    read.operator_server.port = listen.at("operator_port").get<int>();
    read.peer_host = read.operator_server.host;
    read.peer_port = listen.at("peer_port").get<int>();
    if (listen.contains("tls"))
    {
        const json& tls = listen.at("tls");
        read.operator_server.tls =
            adapters::tls_files{tls.at("certificate").get<std::string>(),
                                tls.at("private_key").get<std::string>()};
    }
}

void read_limits(const json& limits, adapters::http_server_settings& server)
{
    server.most_connections = limits.value("connections", default_connections);
    server.most_body_bytes = limits.value("body_bytes", server.most_body_bytes);
}

} // namespace

json controller_settings_schema()
{
    json properties = adapters::common_settings_properties();
    properties.update(json::parse(own_properties));
    return {{"type", "object"},
            {"additionalProperties", false},
            {"required",
             {"name", "vm", "data_centre", "platform", "listen", "operators"}},
            {"properties", properties}};
}

controller_settings read_controller_settings(const json& settings)
{
    controller_settings read;
    read.name = settings.at("name").get<std::string>();
    read.vm = settings.at("vm").get<std::string>();
    read.data_centre = settings.at("data_centre").get<std::string>();
    const json log = settings.value("log", json::object());
    read.log_level = log.value("level", "info");
    read.log_format = log.value("format", "text");
    const json& platform = settings.at("platform");
    read.key_value_addresses =
        platform.at("key_value").get<std::vector<std::string>>();
    read.vm_list_address = platform.at("vm_list").get<std::string>();
    read.platform_timeout = std::chrono::milliseconds(
        platform.value("timeout_ms", read.platform_timeout.count()));
    read_listen(settings.at("listen"), read);
    read_limits(settings.value("limits", json::object()), read.operator_server);
    read.operator_key_digests = settings.at("operators")
                                    .at("key_digests")
                                    .get<std::vector<std::string>>();
    const json budgets = settings.value("budgets", json::object());
    read.budget_shards = budgets.value("shards", read.budget_shards);
    read.freeze_time = std::chrono::seconds(
        budgets.value("freeze_s", read.freeze_time.count()));
    read.clock_skew = std::chrono::seconds(
        budgets.value("clock_skew_s", read.clock_skew.count()));
    read.lease =
        std::chrono::seconds(settings.value("lease_s", read.lease.count()));
    return read;
}

} // namespace turmeric::controller
