#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// A number of tokens, the unit of budgets.
using tokens = std::int64_t;

/// The kind of upstreams that serve a route.
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

/// Whether an upstream accepts new requests.
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

/// A prepaid budget. Its balance is stored in its budget shard, not in the
/// configuration.
struct budget_declaration
{
    std::string name;
    /// The routes that the budget pays for; empty means all routes.
    std::vector<std::string> routes;

    bool operator==(const budget_declaration&) const = default;
};

/// A client account.
struct account_declaration
{
    std::string name;
    /// SHA-256 digests of the account's keys in lower-case hexadecimal.
    std::vector<std::string> key_digests;
    std::vector<budget_declaration> budgets;
    /// Share of a contended resource relative to other accounts; 1 or more.
    std::int32_t weight = 1;
    /// Passed to engines, which serve smaller numbers first.
    std::int32_t priority = 0;

    bool operator==(const account_declaration&) const = default;
};

/// The share of a route's traffic that one version receives.
struct version_share
{
    std::string version;
    /// The shares of a route add up to 1,000,000.
    std::int32_t parts_per_million = 0;

    bool operator==(const version_share&) const = default;
};

/// The service-level objective of a route, used by the burn-rate report.
struct objective_declaration
{
    /// Target share of requests that succeed, such as 0.999.
    double availability = 0.999;
    std::chrono::milliseconds first_token{370};
    std::chrono::milliseconds token_gap{40};
    /// Target share of requests that meet both latency targets.
    double latency_share = 0.95;

    bool operator==(const objective_declaration&) const = default;
};

/// A route to model engines, which callers name as their model, or to a plain
/// service.
struct route_declaration
{
    std::string name;
    route_kind kind = route_kind::engine;
    std::vector<version_share> versions;
    /// If false, a call is executed at most once.
    bool is_idempotent = true;
    /// Tokens that are billed for a call to a plain service.
    tokens tokens_per_call = 0;
    /// Maximum number of tokens in one response.
    tokens max_tokens = 4096;
    std::chrono::milliseconds idle_timeout{10'000};
    objective_declaration objective;

    bool operator==(const route_declaration&) const = default;
};

/// A process that serves requests.
struct upstream_declaration
{
    std::string name;
    /// Host and port.
    std::string address;
    std::string data_centre;
    /// The versions that it can serve.
    std::vector<std::string> versions;
    /// Maximum number of concurrent requests.
    std::int32_t capacity = 1;
    upstream_state state = upstream_state::serving;
    /// Whether it rejects orders with an outdated fencing number.
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
    /// Successive traffic shares of the new version in parts per million, in
    /// increasing order; the last one is 1,000,000.
    std::vector<std::int32_t> steps{10'000, 50'000, 250'000, 1'000'000};
    /// How long the old version stays loaded after the last step.
    std::chrono::seconds soak{60};

    bool operator==(const move_declaration&) const = default;
};

/// A VM that operators take out of service; the routers on it leave the fleet.
struct vm_declaration
{
    /// The VM's name in the platform's list.
    std::string name;
    upstream_state state = upstream_state::leaving;

    bool operator==(const vm_declaration&) const = default;
};

/// Everything that operators declare. All of it comes into force at once.
struct configuration
{
    /// Increases by one with each accepted change; 0 means that there is no
    /// configuration yet.
    std::int64_t version = 0;
    std::vector<account_declaration> accounts;
    std::vector<route_declaration> routes;
    std::vector<upstream_declaration> upstreams;
    std::vector<move_declaration> moves;
    std::vector<vm_declaration> vms;

    bool operator==(const configuration&) const = default;
};

} // namespace turmeric::domain
