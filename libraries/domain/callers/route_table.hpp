#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// How often the requests of a route may be executed.
enum class request_kind : std::uint8_t
{
    /// May be executed more than once.
    idempotent,
    /// Is executed at most once for each attempt of the caller.
    at_most_once,
    /// The response is an event stream. Executed at most once unless the
    /// route is resumable.
    streaming,
};

/// Returns the kind's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(request_kind value)
{
    switch (value)
    {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::at_most_once:
        return "at_most_once";
    case request_kind::streaming:
        return "streaming";
    }
    return "unknown";
}

/// A service that receives a share of a route's requests.
struct service_share
{
    std::string service;
    std::int64_t weight = 1;
};

/// How requests for one host and path prefix are handled.
struct caller_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::at_most_once;
    /// The longest that a caller waits for the end of its response.
    std::chrono::milliseconds timeout{0};
    /// A response, or a stream's first event, that takes at most this time
    /// is on time.
    std::chrono::milliseconds objective{0};
    /// 0 is the most urgent.
    std::int32_t urgency = 0;
    /// Never empty; the weights are greater than zero.
    std::vector<service_share> services;
    /// Maximum number of upstreams that one request may be sent to.
    std::int32_t max_attempts = 1;
    /// If true, callers need no key.
    bool is_public = false;
    /// If true, the requests go to model engines and state the sizes of
    /// their prompts.
    bool carries_prompts = false;
    /// If true, another upstream can continue a stream after its last event.
    bool is_resumable = false;

    /// Returns whether a request may be sent again when an earlier attempt
    /// may have been executed. Thread safe.
    [[nodiscard]] bool is_repeatable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::streaming && is_resumable);
    }
};

/// Properties of the model engines of a service.
struct engine_properties
{
    /// Maximum number of requests in one batch.
    std::int32_t slots = 1;
    /// Number of tokens that fit into the KV cache.
    std::int64_t kv_cache_tokens = 0;
    /// Maximum number of output tokens in one event of a stream.
    std::int32_t tokens_per_event = 1;
};

/// A service that routes send requests to.
struct upstream_service
{
    std::string name;
    /// Maximum number of connections that one upstream accepts from all
    /// routers together.
    std::int32_t max_connections = 1;
    /// Set for model engines.
    std::optional<engine_properties> engine;
    /// Where the upstreams answer health checks.
    std::string health_path = "/";
    /// The requests per second that a cold upstream sustains from all routers
    /// together; 0 if the service has no cold upstreams.
    double cold_requests_per_second = 0;
    /// How long an upstream is cold after its start, unless it says otherwise.
    std::chrono::milliseconds cold_start_time{0};
};

/// A client account with its keys and its prepaid tokens.
struct caller_account
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over the route's urgency.
    std::optional<std::int32_t> urgency;
    /// Total number of tokens that the account has paid for.
    std::optional<std::int64_t> prepaid_tokens;
};

/// Limits on the size of callers' requests and on the time that callers may
/// take.
struct caller_limits
{
    std::size_t header_bytes = 16 << 10;
    std::size_t body_bytes = 4 << 20;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// Everything that operators declare about callers' traffic.
struct route_declarations
{
    std::int64_t version = 0;
    std::vector<caller_route> routes;
    std::vector<upstream_service> services;
    std::vector<caller_account> accounts;
    caller_limits limits;
};

/// One version of the declarations, indexed for look-ups. Immutable and
/// therefore thread safe.
class route_table
{
public:
    /// Builds the indexes. No precondition.
    explicit route_table(route_declarations declarations);

    /// Returns the version of the declarations.
    [[nodiscard]] std::int64_t version() const;

    /// Returns the limits for callers.
    [[nodiscard]] const caller_limits& limits() const;

    /// Returns the route of `host` with the longest prefix of `path`, or
    /// null.
    [[nodiscard]] const caller_route* find_route(std::string_view host,
                                                 std::string_view path) const;

    /// Returns the account that holds `key`, or null.
    [[nodiscard]] const caller_account*
    find_account(std::string_view key) const;

    /// Returns whether any account is declared, in which case callers need a
    /// key on routes that are not public.
    [[nodiscard]] bool has_accounts() const;

    /// Returns all accounts.
    [[nodiscard]] const std::vector<caller_account>& accounts() const;

    /// Returns all services.
    [[nodiscard]] const std::vector<upstream_service>& services() const;

    /// Returns the service called `name`, or null.
    [[nodiscard]] const upstream_service*
    find_service(std::string_view name) const;

private:
    route_declarations m_declarations;
    /// Routes by host and prefix.
    std::map<std::string, std::map<std::string, const caller_route*>,
             std::less<>>
        m_routes;
    std::unordered_map<std::string, const caller_account*> m_accounts;
    std::unordered_map<std::string, const upstream_service*> m_services;
};

} // namespace turmeric::domain
