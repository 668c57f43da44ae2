#include "services/entry/entry_settings.hpp"

#include <algorithm>

namespace turmeric::entry
{

namespace
{

/// File descriptors reserved for files and for the connections that serve the
/// process itself.
constexpr std::size_t reserved_descriptors = 300;
/// The part of the time of a stop in which requests are still accepted; those
/// need the rest of it to end.
constexpr int stop_accepting_divisor = 3;

std::chrono::milliseconds read_milliseconds(const json& object,
                                            const char* name,
                                            std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(object.value(name, fallback.count()));
}

/// Reads how many requests a new version may get if it is bad. It gets less at
/// first, since it gets more of them later and may turn out to be bad then.
domain::rollout_settings read_rollouts(const json& settings)
{
    constexpr double used_fraction_of_share = 0.4;
    constexpr double used_fraction_of_slack = 0.1;
    constexpr double default_share = 0.1;
    constexpr double default_slack = 50.0;
    const json limits = settings.value("rollouts", json::object());
    domain::rollout_settings rollouts;
    rollouts.first_share = static_cast<std::int32_t>(
        used_fraction_of_share * limits.value("share", default_share) *
        domain::full_share);
    rollouts.first_requests =
        used_fraction_of_slack * limits.value("slack", default_slack);
    return rollouts;
}

/// Returns the part of the process's memory that the traffic may hold. The rest
/// is for the program, the state of the fleet and what the allocator cannot
/// use.
std::int64_t compute_traffic_memory(std::int64_t memory_bytes)
{
    constexpr std::int64_t base_bytes = 40 << 20;
    constexpr std::int64_t min_divisor = 8;
    return std::max((memory_bytes - base_bytes) / 4 * 3,
                    memory_bytes / min_divisor);
}

/// Returns how many callers' connections the process may have, by its
/// descriptors and so that half of the traffic's memory is left for messages.
std::size_t compute_max_connections(std::size_t descriptors,
                                    std::int64_t traffic_memory_bytes)
{
    constexpr std::int64_t connection_bytes = 16 << 10;
    return std::min(
        (descriptors - reserved_descriptors) / 2,
        static_cast<std::size_t>(traffic_memory_bytes / 2 / connection_bytes));
}

std::chrono::milliseconds read_stop_timeout(const json& settings,
                                            std::chrono::milliseconds fallback)
{
    if (!settings.contains("stop_s"))
    {
        return read_milliseconds(settings, "stop_ms", fallback);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(settings["stop_s"].get<double>()));
}

} // namespace

json entry_settings_schema()
{
    return json::parse(R"({
        "type": "object",
        "required": ["vm", "data_centre", "listen", "store"],
        "properties": {
            "vm": {"type": "string", "minLength": 1},
            "data_centre": {"type": "string", "minLength": 1},
            "listen": {
                "type": "object",
                "required": ["callers", "readiness", "directory", "peers"],
                "properties": {
                    "callers": {"type": "string", "pattern": "^.+:[0-9]+$"},
                    "readiness": {"type": "string", "pattern": "^.+:[0-9]+$"},
                    "directory": {"type": "string", "pattern": "^.+:[0-9]+$"},
                    "peers": {"type": "string", "pattern": "^.+:[0-9]+$"}
                }
            },
            "store": {"type": "string", "pattern": "^.+:[0-9]+$"},
            "stop_ms": {"type": "integer", "minimum": 0},
            "stop_s": {"type": "number", "minimum": 0},
            "descriptors": {"type": "integer", "minimum": 400},
            "memory_mb": {
                "type": "integer",
                "minimum": 32,
                "maximum": 1048576
            },
            "cpu_share": {"type": "number", "exclusiveMinimum": 0},
            "link_mbps": {"type": "number", "exclusiveMinimum": 0},
            "retries": {
                "type": "object",
                "properties": {
                    "ratio": {"type": "number", "minimum": 0},
                    "slack": {"type": "number", "minimum": 0},
                    "window_s": {"type": "number", "exclusiveMinimum": 0}
                }
            },
            "rollouts": {
                "type": "object",
                "properties": {
                    "share": {
                        "type": "number",
                        "exclusiveMinimum": 0,
                        "maximum": 1
                    },
                    "slack": {"type": "number", "minimum": 0}
                }
            },
            "log": {
                "type": "object",
                "additionalProperties": false,
                "properties": {
                    "level": {"enum": ["debug", "info", "warning", "error"]},
                    "format": {"enum": ["text", "json"]}
                }
            }
        }
    })");
}

entry_settings read_entry_settings(const json& settings)
{
    entry_settings parsed;
    parsed.vm = settings["vm"].get<std::string>();
    parsed.data_centre = settings["data_centre"].get<std::string>();
    const json& listen = settings["listen"];
    parsed.caller_address = listen["callers"].get<std::string>();
    parsed.readiness_address = listen["readiness"].get<std::string>();
    parsed.directory_address = listen["directory"].get<std::string>();
    parsed.peer_address = listen["peers"].get<std::string>();
    parsed.store_address = settings["store"].get<std::string>();
    parsed.stop_timeout = read_stop_timeout(settings, parsed.stop_timeout);
    parsed.traffic.stop_accepting_after =
        std::min(parsed.traffic.stop_accepting_after,
                 parsed.stop_timeout / stop_accepting_divisor);
    constexpr std::size_t default_descriptors = 2'000;
    const std::size_t descriptors =
        settings.value("descriptors", default_descriptors);
    constexpr std::int64_t bytes_per_mb = 1'000'000;
    constexpr std::int64_t default_memory_mb = 256;
    parsed.memory_bytes =
        settings.value("memory_mb", default_memory_mb) * bytes_per_mb;
    parsed.traffic_memory_bytes = compute_traffic_memory(parsed.memory_bytes);
    parsed.max_connections =
        compute_max_connections(descriptors, parsed.traffic_memory_bytes);
    parsed.capacity = {settings.value("cpu_share", 0.0),
                       settings.value("link_mbps", 0.0)};
    const json log = settings.value("log", json::object());
    parsed.min_log_level =
        adapters::parse_log_level(log.value("level", std::string("info")));
    parsed.format =
        adapters::parse_log_format(log.value("format", std::string("text")));
    parsed.traffic.data_centre = parsed.data_centre;
    parsed.traffic.link_mbps = parsed.capacity.link_mbps;
    const json retries = settings.value("retries", json::object());
    domain::retry_rate_limits& limits = parsed.traffic.retries;
    limits.ratio = retries.value("ratio", limits.ratio);
    limits.slack = retries.value("slack", limits.slack);
    constexpr double default_window_s = 10.0;
    limits.window = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(
            retries.value("window_s", default_window_s)));
    parsed.rollouts = read_rollouts(settings);
    return parsed;
}

} // namespace turmeric::entry
