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

/// What a route allows to be repeated.
enum class request_kind : std::uint8_t
{
    /// May run more than once.
    idempotent,
    /// Runs at most once for each attempt of the caller.
    at_most_once,
    /// Answered by a stream of events; at most once unless resumable.
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

/// A service that gets a part of a route's requests.
struct service_share
{
    std::string service;
    std::int64_t weight = 1;
};

/// How requests of one host and path prefix are handled.
struct caller_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::at_most_once;
    /// The longest that a caller is kept waiting for the end of its answer.
    std::chrono::milliseconds timeout{0};
    /// Within this time an answer, or a stream's first event, is on time.
    std::chrono::milliseconds objective{0};
    /// 0 is the most urgent.
    std::int32_t urgency = 0;
    /// Never empty; weights are above zero.
    std::vector<service_share> services;
    /// The most upstreams that one request may be sent to.
    std::int32_t max_attempts = 1;
    /// Needs no key.
    bool is_public = false;
    /// Its requests go to model engines and tell their prompts' sizes.
    bool carries_prompts = false;
    /// A stream may go on elsewhere after its last event.
    bool is_resumable = false;

    /// Tells whether a request may run again after it may have run. Thread
    /// safe.
    [[nodiscard]] bool is_repeatable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::streaming && is_resumable);
    }
};

/// What the model engines of a service are like.
struct engine_properties
{
    /// Requests in one batch.
    std::int32_t slots = 1;
    /// Tokens that fit into memory.
    std::int64_t kv_cache_tokens = 0;
    /// The most output tokens in one event of a stream.
    std::int32_t tokens_per_event = 1;
};

/// A service that routes lead to.
struct upstream_service
{
    std::string name;
    /// Connections that one upstream takes from all routers together.
    std::int32_t max_connections = 1;
    /// Set for model engines.
    std::optional<engine_properties> engine;
};

/// Who may call, and how much.
struct caller_account
{
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the route's urgency.
    std::optional<std::int32_t> urgency;
    /// Tokens that the account has paid for in all.
    std::optional<std::int64_t> prepaid_tokens;
};

/// What callers may send, and how long they may take over it.
struct caller_limits
{
    std::size_t header_bytes = 16 << 10;
    std::size_t body_bytes = 4 << 20;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// All that operators declare about callers' traffic.
struct route_declarations
{
    std::int64_t version = 0;
    std::vector<caller_route> routes;
    std::vector<upstream_service> services;
    std::vector<caller_account> accounts;
    caller_limits limits;
};

/// One version of the declarations, indexed for look-ups. Never changed once
/// made, so it is thread safe.
class route_table
{
public:
    /// Indexes the declarations. No precondition.
    explicit route_table(route_declarations declarations);

    /// Returns the version of the declarations.
    [[nodiscard]] std::int64_t version() const;

    /// Returns the limits for callers.
    [[nodiscard]] const caller_limits& limits() const;

    /// Returns the route of `host` with the longest prefix that begins
    /// `path`, or null.
    [[nodiscard]] const caller_route* find_route(std::string_view host,
                                                 std::string_view path) const;

    /// Returns the account that holds `key`, or null.
    [[nodiscard]] const caller_account*
    find_account(std::string_view key) const;

    /// Tells whether callers need a key on routes that are not public.
    [[nodiscard]] bool has_accounts() const;

    /// Returns all accounts.
    [[nodiscard]] const std::vector<caller_account>& accounts() const;

    /// Returns a service, or null.
    [[nodiscard]] const upstream_service*
    find_service(std::string_view name) const;

private:
    route_declarations m_declarations;
    /// For each host the routes by prefix.
    std::map<std::string, std::map<std::string, const caller_route*>,
             std::less<>>
        m_routes;
    std::unordered_map<std::string, const caller_account*> m_accounts;
    std::unordered_map<std::string, const upstream_service*> m_services;
};

} // namespace turmeric::domain
