#pragma once

#include "libraries/core/memory_budget.hpp"
#include "libraries/core/metrics/counter.hpp"
#include "libraries/core/metrics/gauge.hpp"
#include "libraries/core/metrics/histogram.hpp"
#include "libraries/core/metrics/registry.hpp"

namespace turmeric::drivers
{

/// The counters and histograms of an entry VM's traffic, listed in
/// docs/metrics.md. Thread safe.
class traffic_metrics
{
public:
    /// Precondition: `registry` outlives this and has no such names yet.
    explicit traffic_metrics(metrics::registry& registry);

    /// Sets the gauges of the memory. Called by the thread of the budget.
    void show_memory(const memory_budget& budget);

    /// Responses by route and result code name; the result is `ok` for
    /// responses of an upstream.
    metrics::family<metrics::counter>& responses;
    /// Attempts by service and result.
    metrics::family<metrics::counter>& attempts;
    /// Requests forwarded to peers, by service and result.
    metrics::family<metrics::counter>& forwards;
    /// Rate limits that upstreams named, by service and result.
    metrics::family<metrics::counter>& rate_limits;
    /// Requests sent to upstreams that were cold, by service.
    metrics::family<metrics::counter>& cold_requests;
    metrics::family<metrics::counter>& notices;
    /// Connections opened to find out whether upstreams are reached, by service
    /// and result.
    metrics::family<metrics::counter>& path_probes;
    /// Callers' connections that this router closed or saw closed, by reason
    /// and by whether a request had begun.
    metrics::family<metrics::counter>& connection_closes;
    /// From the arrival of a request to the first byte of its response.
    metrics::family<metrics::histogram>& time_to_first_byte;
    /// From the arrival of a request to the end of its response.
    metrics::family<metrics::histogram>& response_duration;
    /// Bytes that the traffic holds, by kind.
    metrics::family<metrics::gauge>& memory;
    /// The limit of the sum of `memory`, in bytes.
    metrics::family<metrics::gauge>& memory_limit;
    metrics::family<metrics::gauge>& cold_upstreams;
    metrics::family<metrics::gauge>& evacuated_data_centres;
    /// The part of the link's capacity that callers' traffic uses, in percent,
    /// by direction.
    metrics::family<metrics::gauge>& link_use;
    /// How much later than it was due the traffic thread ran an update.
    metrics::family<metrics::histogram>& loop_delay;
    /// How long bytes of responses waited until they were written.
    metrics::family<metrics::histogram>& write_wait;
};

} // namespace turmeric::drivers
