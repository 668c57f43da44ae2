#include "libraries/core/result_code.hpp"

#include <algorithm>
#include <array>

namespace turmeric
{

namespace
{

struct code_row
{
    result_code code;
    std::string_view name;
    int http_status;
};

constexpr std::array code_table = {
    code_row{result_code::malformed_body, "malformed_body", 400},
    code_row{result_code::missing_key, "missing_key", 401},
    code_row{result_code::wrong_key, "wrong_key", 401},
    code_row{result_code::unknown_route, "unknown_route", 404},
    code_row{result_code::body_too_large, "body_too_large", 413},
    code_row{result_code::headers_too_large, "headers_too_large", 431},
    code_row{result_code::invalid_field, "invalid_field", 422},
    code_row{result_code::request_id_reused, "request_id_reused", 422},
    code_row{result_code::request_timeout, "request_timeout", 408},
    code_row{result_code::unsupported_method, "unsupported_method", 405},
    code_row{result_code::caller_gone, "caller_gone", 499},
    code_row{result_code::queue_full, "queue_full", 429},
    code_row{result_code::queue_timeout, "queue_timeout", 503},
    code_row{result_code::too_many_connections, "too_many_connections", 503},
    code_row{result_code::slow_reader_limit, "slow_reader_limit", 503},
    code_row{result_code::retry_budget_spent, "retry_budget_spent", 503},
    code_row{result_code::router_stopping, "router_stopping", 503},
    code_row{result_code::router_not_ready, "router_not_ready", 503},
    code_row{result_code::deadline_exceeded, "deadline_exceeded", 504},
    code_row{result_code::prompt_blocked, "prompt_blocked", 503},
    code_row{result_code::request_blocked, "request_blocked", 503},
    code_row{result_code::memory_full, "memory_full", 503},
    code_row{result_code::router_overloaded, "router_overloaded", 503},
    code_row{result_code::budget_exhausted, "budget_exhausted", 402},
    code_row{result_code::grant_unavailable, "grant_unavailable", 503},
    code_row{result_code::grant_expired, "grant_expired", 503},
    code_row{result_code::bill_undurable, "bill_undurable", 503},
    code_row{result_code::duplicate_request, "duplicate_request", 409},
    code_row{result_code::claim_unresolved, "claim_unresolved", 503},
    code_row{result_code::ledger_full, "ledger_full", 503},
    code_row{result_code::unknown_budget, "unknown_budget", 402},
    code_row{result_code::amount_overflow, "amount_overflow", 422},
    code_row{result_code::no_upstream, "no_upstream", 503},
    code_row{result_code::upstream_failed, "upstream_failed", 502},
    code_row{result_code::upstream_timeout, "upstream_timeout", 504},
    code_row{result_code::upstream_overloaded, "upstream_overloaded", 503},
    code_row{result_code::upstream_refused_order, "upstream_refused_order",
             502},
    code_row{result_code::stream_broken, "stream_broken", 502},
    code_row{result_code::platform_unavailable, "platform_unavailable", 503},
    code_row{result_code::platform_timeout, "platform_timeout", 503},
    code_row{result_code::platform_rate_limited, "platform_rate_limited", 503},
    code_row{result_code::platform_conflict, "platform_conflict", 409},
    code_row{result_code::platform_outcome_unknown, "platform_outcome_unknown",
             503},
    code_row{result_code::platform_value_too_large, "platform_value_too_large",
             413},
    code_row{result_code::lease_lost, "lease_lost", 503},
    code_row{result_code::corrupt_value, "corrupt_value", 500},
    code_row{result_code::configuration_conflict, "configuration_conflict",
             409},
    code_row{result_code::configuration_invalid, "configuration_invalid", 422},
    code_row{result_code::unknown_method, "unknown_method", 404},
    code_row{result_code::unknown_object, "unknown_object", 404},
    code_row{result_code::object_exists, "object_exists", 409},
    code_row{result_code::not_leader, "not_leader", 503},
    code_row{result_code::top_up_reused, "top_up_reused", 409},
    code_row{result_code::move_in_progress, "move_in_progress", 409},
    code_row{result_code::operator_unauthorized, "operator_unauthorized", 401},
    code_row{result_code::settings_unreadable, "settings_unreadable", 500},
    code_row{result_code::settings_malformed, "settings_malformed", 500},
    code_row{result_code::settings_invalid, "settings_invalid", 500},
    code_row{result_code::bad_argument, "bad_argument", 400},
    code_row{result_code::peer_unavailable, "peer_unavailable", 503},
    code_row{result_code::peer_protocol, "peer_protocol", 502},
};

const code_row* find_row(result_code code)
{
    auto row = std::find_if(code_table.begin(), code_table.end(),
                            [code](const code_row& candidate)
                            { return candidate.code == code; });
    return row == code_table.end() ? nullptr : &*row;
}

} // namespace

std::string_view name_of(result_code code)
{
    const code_row* row = find_row(code);
    return row == nullptr ? "unknown" : row->name;
}

int http_status_of(result_code code)
{
    constexpr int internal_server_error = 500;
    const code_row* row = find_row(code);
    return row == nullptr ? internal_server_error : row->http_status;
}

} // namespace turmeric
