#pragma once

#include <cstdint>
#include <string_view>

namespace turmeric
{

/// Numbered results, listed in docs/result-codes.md. A released number
/// is never reused for another result.
enum class result_code : std::uint16_t
{
    // 1000: the caller's request.
    malformed_body = 1001,
    missing_key = 1002,
    wrong_key = 1003,
    unknown_route = 1004,
    body_too_large = 1005,
    headers_too_large = 1006,
    invalid_field = 1007,
    request_id_reused = 1008,
    request_timeout = 1009,
    unsupported_method = 1010,
    caller_gone = 1011,

    // 2000: limits and admission.
    queue_full = 2001,
    queue_timeout = 2002,
    too_many_connections = 2003,
    slow_reader_limit = 2004,
    retry_budget_spent = 2005,
    router_stopping = 2006,
    router_not_ready = 2007,
    deadline_exceeded = 2008,
    prompt_blocked = 2009,
    request_blocked = 2010,
    memory_full = 2011,
    router_overloaded = 2012,

    // 3000: budgets and billing.
    budget_exhausted = 3001,
    grant_unavailable = 3002,
    grant_expired = 3003,
    bill_undurable = 3004,
    duplicate_request = 3005,
    claim_unresolved = 3006,
    ledger_full = 3007,
    unknown_budget = 3008,
    amount_overflow = 3009,

    // 4000: upstreams.
    no_upstream = 4001,
    upstream_failed = 4002,
    upstream_timeout = 4003,
    upstream_overloaded = 4004,
    upstream_refused_order = 4005,
    stream_broken = 4006,

    // 5000: the platform.
    platform_unavailable = 5001,
    platform_timeout = 5002,
    platform_rate_limited = 5003,
    platform_conflict = 5004,
    platform_outcome_unknown = 5005,
    platform_value_too_large = 5006,
    lease_lost = 5007,
    corrupt_value = 5008,

    // 6000: operators.
    configuration_conflict = 6001,
    configuration_invalid = 6002,
    unknown_method = 6003,
    unknown_object = 6004,
    object_exists = 6005,
    not_leader = 6006,
    top_up_reused = 6007,
    move_in_progress = 6008,
    operator_unauthorized = 6009,

    // 7000: settings and the command line.
    settings_unreadable = 7001,
    settings_malformed = 7002,
    settings_invalid = 7003,
    bad_argument = 7004,

    // 8000: peers.
    peer_unavailable = 8001,
    peer_protocol = 8002,
};

/// Returns the code's name, such as "malformed_body". Thread safe.
[[nodiscard]] std::string_view name_of(result_code code);

/// Returns the HTTP status of the response that carries the code. Thread safe.
[[nodiscard]] int http_status_of(result_code code);

} // namespace turmeric
