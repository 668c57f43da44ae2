#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// A count of tokens; the unit of budgets.
using tokens = std::int64_t;

/// What stands behind a route.
enum class route_kind : std::uint8_t
{
    engine,
    service,
};

/// Returns the name used in declarations. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(route_kind kind)
{
    return kind == route_kind::engine ? "engine" : "service";
}

/// Whether an upstream takes new work.
enum class upstream_state : std::uint8_t
{
    serving,
    leaving,
};

/// Returns the name used in declarations. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(upstream_state state)
{
    return state == upstream_state::serving ? "serving" : "leaving";
}

/// A prepaid budget. Its tokens are in its budget shard, not here.
struct budget_declaration
{
    std::string name;
    /// The routes that it pays for; empty means all.
    std::vector<std::string> routes;

    bool operator==(const budget_declaration&) const = default;
};

/// A client account.
struct account_declaration
{
    std::string name;
    /// Hexadecimal SHA-256 digests of the account's keys.
    std::vector<std::string> key_digests;
    std::vector<budget_declaration> budgets;
    /// Share of a contended resource relative to other accounts; 1 or more.
    std::int32_t weight = 1;
    /// Passed to engines; a smaller number is served sooner.
    std::int32_t priority = 0;

    bool operator==(const account_declaration&) const = default;
};

/// A share of a route's traffic.
struct version_share
{
    std::string version;
    /// Parts in a million; the shares of a route add up to a million.
    std::int32_t parts_per_million = 0;

    bool operator==(const version_share&) const = default;
};

/// What a route promises; read by the report on service-level burn.
struct objective_declaration
{
    /// Share of requests that succeed, such as 0.999.
    double availability = 0.999;
    std::chrono::milliseconds first_token{370};
    std::chrono::milliseconds token_gap{40};
    /// Share of requests within the two latencies.
    double latency_share = 0.95;

    bool operator==(const objective_declaration&) const = default;
};

/// A route that callers name as their model, or a plain service.
struct route_declaration
{
    std::string name;
    route_kind kind = route_kind::engine;
    std::vector<version_share> versions;
    /// False: a call runs at most once.
    bool is_idempotent = true;
    /// Tokens billed for a call of a plain service.
    tokens tokens_per_call = 0;
    /// The most tokens that one answer may have.
    tokens max_tokens = 4096;
    std::chrono::milliseconds idle_timeout{10'000};
    objective_declaration objective;

    bool operator==(const route_declaration&) const = default;
};

/// A process that answers requests.
struct upstream_declaration
{
    std::string name;
    /// Host and port.
    std::string address;
    std::string data_centre;
    /// The versions that it can serve.
    std::vector<std::string> versions;
    /// The most requests that it may hold at a time.
    std::int32_t capacity = 1;
    upstream_state state = upstream_state::serving;
    /// Whether it refuses an order with an old fencing number.
    bool has_fencing = true;

    bool operator==(const upstream_declaration&) const = default;
};

/// A declared move of a route's traffic to another version.
struct move_declaration
{
    std::string route;
    std::string from_version;
    std::string to_version;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point deadline;
    /// Rising shares in parts in a million, the last one a million.
    std::vector<std::int32_t> steps{10'000, 50'000, 250'000, 1'000'000};
    /// How long the old version stays warm after the last step.
    std::chrono::seconds soak{60};

    bool operator==(const move_declaration&) const = default;
};

/// A VM that operators take out of service; the routers on it leave.
struct vm_declaration
{
    /// The VM's name in the platform's list.
    std::string name;
    upstream_state state = upstream_state::leaving;

    bool operator==(const vm_declaration&) const = default;
};

/// Everything that operators declare, in force as a whole.
struct configuration
{
    /// Goes up by one with each accepted change; 0 means none yet.
    std::int64_t version = 0;
    std::vector<account_declaration> accounts;
    std::vector<route_declaration> routes;
    std::vector<upstream_declaration> upstreams;
    std::vector<move_declaration> moves;
    std::vector<vm_declaration> vms;

    bool operator==(const configuration&) const = default;
};

} // namespace turmeric::domain
