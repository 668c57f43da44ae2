#pragma once

#include "libraries/core/metrics/registry.hpp"

namespace turmeric::metrics
{

/// Names of metrics that programs which read the router's metrics use.
inline constexpr const char* requests_name = "turmeric_requests_total";
inline constexpr const char* first_token_name = "turmeric_first_token_seconds";
inline constexpr const char* token_gap_name = "turmeric_token_gap_seconds";
inline constexpr const char* moves_name = "turmeric_moves_total";
inline constexpr const char* start_time_name = "turmeric_start_time_seconds";

/// The metric families of a router, listed in docs/metrics.md. Thread safe.
/// Must not outlive the registry.
struct router_metrics
{
    /// Adds the families to `metrics_registry`. Precondition: it has none of
    /// them yet. `pinned_first_token` and `pinned_token_gap` are the latency
    /// objectives that alert rules may refer to.
    router_metrics(registry& metrics_registry,
                   std::vector<std::chrono::microseconds> pinned_first_token,
                   std::vector<std::chrono::microseconds> pinned_token_gap);

    /// Labels: route, version, account, code. The code is "ok" or the name
    /// of a result code.
    family<counter>& requests;
    /// Labels: route, version, account.
    family<histogram>& first_token;
    /// Labels: route, version, account. Each request records its longest gap.
    family<histogram>& token_gap;
    /// Labels: account, route.
    family<counter>& billed_tokens;
    /// Labels: call, outcome ("ok" or the name of a result code).
    family<counter>& platform_calls;
    /// No labels. Set once to the start time of the process in seconds since
    /// 1970; readers of the metrics detect a restart by its change.
    family<gauge>& start_time;
    /// No labels.
    family<gauge>& queue_depth;
    /// No labels.
    family<gauge>& slow_reader_bytes;
};

} // namespace turmeric::metrics
