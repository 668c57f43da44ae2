#include "services/router/router_settings.hpp"

namespace turmeric::router
{

namespace
{

constexpr const char* server_port = "caller_port";

constexpr const char* router_properties = R"({
    "limits": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "connections": {
                "type": "integer", "minimum": 1, "maximum": 20000
            },
            "body_bytes": {"type": "integer", "minimum": 1024},
            "headers": {"type": "integer", "minimum": 8},
            "header_bytes": {"type": "integer", "minimum": 1024},
            "send_buffer_bytes": {"type": "integer", "minimum": 4096},
            "read_timeout_ms": {"type": "integer", "minimum": 10},
            "write_timeout_ms": {"type": "integer", "minimum": 10},
            "queue_requests": {"type": "integer", "minimum": 0},
            "queue_bytes": {"type": "integer", "minimum": 0},
            "queue_wait_ms": {"type": "integer", "minimum": 0},
            "account_queue_requests": {"type": "integer", "minimum": 0},
            "unread_bytes": {"type": "integer", "minimum": 1024},
            "kept_answer_bytes": {"type": "integer", "minimum": 0},
            "kept_answer_seconds": {"type": "integer", "minimum": 0},
            "park_after_ms": {"type": "integer", "minimum": 10},
            "longest_park_ms": {"type": "integer", "minimum": 10},
            "bytes_per_token": {
                "type": "integer", "minimum": 1, "maximum": 8
            },
            "connect_timeout_ms": {"type": "integer", "minimum": 10},
            "leave_ms": {"type": "integer", "minimum": 0},
            "stop_ms": {"type": "integer", "minimum": 0}
        }
    },
    "budgets": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "shards": {"type": "integer", "minimum": 1, "maximum": 1000},
            "grant_term_s": {"type": "integer", "minimum": 2},
            "clock_skew_s": {"type": "integer", "minimum": 0},
            "write_interval_ms": {"type": "integer", "minimum": 5},
            "hold_wait_ms": {"type": "integer", "minimum": 0},
            "bill_wait_ms": {"type": "integer", "minimum": 10}
        }
    },
    "seed_peers": {
        "type": "array",
        "items": {"type": "string", "pattern": "^.+:[0-9]+$"}
    },
    "lease_s": {"type": "integer", "minimum": 1, "maximum": 300}
})";

std::chrono::milliseconds read_milliseconds(const json& settings,
                                            const char* name,
                                            std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(settings.value(name, fallback.count()));
}

void read_server_limits(const json& limits,
                        adapters::http_server_settings& server)
{
    server.max_connections =
        limits.value("connections", server.max_connections);
    server.max_body_bytes = limits.value("body_bytes", server.max_body_bytes);
    server.max_headers = limits.value("headers", server.max_headers);
    server.max_header_bytes =
        limits.value("header_bytes", server.max_header_bytes);
    server.send_buffer_bytes =
        limits.value("send_buffer_bytes", server.send_buffer_bytes);
    server.read_timeout =
        read_milliseconds(limits, "read_timeout_ms", server.read_timeout);
    server.write_timeout =
        read_milliseconds(limits, "write_timeout_ms", server.write_timeout);
}

void read_limits(const json& limits, router_settings& read)
{
    read_server_limits(limits, read.caller_server);
    domain::admission_limits& queue = read.traffic.admission;
    queue.total_requests = limits.value("queue_requests", queue.total_requests);
    queue.total_bytes = limits.value("queue_bytes", queue.total_bytes);
    queue.max_wait = read_milliseconds(limits, "queue_wait_ms", queue.max_wait);
    queue.account_requests =
        limits.value("account_queue_requests", queue.account_requests);
    drivers::response_cache_settings& responses = read.responses;
    responses.max_unread_bytes =
        limits.value("unread_bytes", responses.max_unread_bytes);
    responses.max_retained_bytes =
        limits.value("kept_answer_bytes", responses.max_retained_bytes);
    responses.retention = std::chrono::seconds(
        limits.value("kept_answer_seconds", responses.retention.count()));
    read.slow_reader.park_after =
        read_milliseconds(limits, "park_after_ms", read.slow_reader.park_after);
    read.slow_reader.max_park_time = read_milliseconds(
        limits, "longest_park_ms", read.slow_reader.max_park_time);
    read.bytes_per_token =
        limits.value("bytes_per_token", read.bytes_per_token);
    read.connect_timeout =
        read_milliseconds(limits, "connect_timeout_ms", read.connect_timeout);
    read.leave_time = read_milliseconds(limits, "leave_ms", read.leave_time);
    read.stop_timeout = read_milliseconds(limits, "stop_ms", read.stop_timeout);
}

void read_budgets(const json& budgets, router_settings& read)
{
    read.budget_shards = budgets.value("shards", read.budget_shards);
    read.grant_term = std::chrono::seconds(
        budgets.value("grant_term_s", read.grant_term.count()));
    read.clock_skew = std::chrono::seconds(
        budgets.value("clock_skew_s", read.clock_skew.count()));
    read.write_interval =
        read_milliseconds(budgets, "write_interval_ms", read.write_interval);
    read.hold_timeout =
        read_milliseconds(budgets, "hold_wait_ms", read.hold_timeout);
    read.bill_timeout =
        read_milliseconds(budgets, "bill_wait_ms", read.bill_timeout);
}

} // namespace

json router_settings_schema()
{
    return adapters::make_daemon_schema(json::parse(router_properties),
                                        server_port, {});
}

router_settings read_router_settings(const json& settings)
{
    router_settings read;
    adapters::read_daemon_settings(settings, server_port, read,
                                   read.caller_server);
    read_limits(settings.value("limits", json::object()), read);
    read_budgets(settings.value("budgets", json::object()), read);
    read.lease =
        std::chrono::seconds(settings.value("lease_s", read.lease.count()));
    return read;
}

} // namespace turmeric::router
