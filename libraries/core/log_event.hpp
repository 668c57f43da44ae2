#pragma once

#include <cstdint>
#include <string_view>

namespace turmeric
{

/// Numbered log events, listed in docs/events.md. A released number is
/// never reused for another event.
enum class log_event : std::uint16_t
{
    // 100: process lifecycle.
    process_started = 101,
    process_stopping = 102,
    process_stopped = 103,
    listen_failed = 104,
    settings_rejected = 105,
    thread_failed = 106,
    stop_cut_streams = 107,
    settings_reloaded = 108,
    log_lines_dropped = 109,
    process_failed = 110,
    router_overloaded = 111,
    router_relieved = 112,

    // 200: requests.
    request_finished = 201,
    request_refused = 202,
    request_retried = 203,
    stream_resumed = 204,
    stream_parked = 205,
    caller_gone = 206,
    request_placed = 207,
    answer_broken_off = 208,
    request_forwarded = 209,

    // 300: budgets and billing.
    grant_changed = 301,
    bill_committed = 302,
    bill_duplicate = 303,
    commit_failed = 304,
    commit_resolved = 305,
    grant_closed = 306,
    incarnation_fenced = 307,
    claim_resolved = 308,
    tokens_lent = 309,
    grant_conflict = 310,
    grant_differs = 311,
    totals_collected = 312,
    lost_grants_reserved = 313,

    // 400: upstreams and moves.
    upstream_ejected = 401,
    upstream_returned = 402,
    upstream_leaving = 403,
    move_stepped = 404,
    move_cut = 405,
    move_taken_back = 406,
    move_finished = 407,
    order_sent = 408,
    order_refused = 409,
    upstream_call_broken = 410,
    prompt_parts_blocked = 411,
    rate_limit_changed = 412,
    rate_limit_rejected = 413,
    requests_blocked = 414,
    upstream_notice_read = 415,
    upstream_notice_rejected = 416,
    paths_lost = 420,
    paths_restored = 421,
    ends_dropped = 422,

    // 500: the platform.
    platform_call_failed = 501,
    platform_recovered = 502,
    lease_acquired = 503,
    lease_lost = 504,
    watch_replaced = 505,
    upstreams_changed = 506,
    document_unreadable = 507,
    store_restored = 508,
    evacuation_begun = 509,
    evacuation_ended = 510,

    // 600: configuration and operators.
    configuration_in_force = 601,
    configuration_rejected = 602,
    operator_call = 603,

    // 700: peers and membership.
    peer_connected = 701,
    peer_lost = 702,
    member_joined = 703,
    member_left = 704,
    entries_listed = 705,
};

/// Returns the event's name, such as "process_started". Thread safe.
[[nodiscard]] std::string_view name_of(log_event event);

} // namespace turmeric
