#include "services/controller/controller_settings.hpp"

namespace turmeric::controller
{

namespace
{

constexpr const char* server_port = "operator_port";

constexpr const char* controller_properties = R"({
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

void read_limits(const json& limits, adapters::http_server_settings& server)
{
    server.max_connections = limits.value("connections", default_connections);
    server.max_body_bytes = limits.value("body_bytes", server.max_body_bytes);
}

} // namespace

json controller_settings_schema()
{
    return adapters::make_daemon_schema(json::parse(controller_properties),
                                        server_port, {"operators"});
}

controller_settings read_controller_settings(const json& settings)
{
    controller_settings read;
    adapters::read_daemon_settings(settings, server_port, read,
                                   read.operator_server);
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
