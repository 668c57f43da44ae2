#pragma once

#include "bench/routing/fake_upstream.hpp"
#include "bench/routing/routing_policy.hpp"
#include "bench/routing/workload.hpp"
#include "libraries/domain/admission/admission_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmeric::bench
{

/// Figures of a run, measured after its warm-up.
struct routing_figures
{
    std::size_t requests = 0;
    double queueing_p50_ms = 0;
    double queueing_p95_ms = 0;
    double queueing_p99_ms = 0;
    double first_token_p95_ms = 0;
    double cache_hit_percent = 0;
    double refused_percent = 0;
    /// The largest number of requests that an upstream held, running and
    /// queued, in percent of its capacity.
    double peak_held_percent = 0;
    /// Percentage of the requests dispatched to an upstream that was at its
    /// capacity.
    double over_capacity_percent = 0;
    double cpu_ns_per_decision = 0;
};

/// Steps one policy in each router against fake upstreams in simulated time.
/// Not thread safe.
class routing_run
{
public:
    /// Prepares a run whose load reports arrive `report_lag_ms` late. Not
    /// thread safe.
    routing_run(const workload_settings& settings, const std::string& policy,
                double report_lag_ms);

    /// Runs for both periods and returns the figures of the second. Call it
    /// once. Not thread safe.
    routing_figures run(double warm_up_ms, double measured_ms);

private:
    struct end_event
    {
        double at_ms = 0;
        upstream_request request;

        bool operator>(const end_event& other) const
        {
            return at_ms > other.at_ms;
        }
    };

    struct report
    {
        std::int64_t running = 0;
        std::int64_t waiting = 0;
    };

    struct load_sample
    {
        double taken_at_ms = 0;
        std::vector<report> reports;
    };

    /// Assigns accounts to routers by locate responses, which are refreshed
    /// when their time to live has passed.
    void refresh_locate_responses(double now_ms);
    void collect_load_reports(double now_ms);
    void deliver_reports(const load_sample& sample);
    void handle_arrival(const arrival& request);
    bool try_dispatch(const upstream_request& request, double now_ms);
    void start_request(const upstream_request& request, double now_ms);
    void finish_request(const end_event& event);
    void dispatch_queued(std::size_t router, double now_ms);
    void refuse_expired(double now_ms);
    [[nodiscard]] routing_figures figures();

    workload_settings m_settings;
    double m_report_lag_ms;
    workload m_workload;
    std::vector<std::unique_ptr<routing_policy>> m_policies;
    std::vector<domain::admission_queue> m_queues;
    std::vector<fake_upstream> m_upstreams;
    std::deque<load_sample> m_samples;
    std::vector<std::vector<std::size_t>> m_account_routers;
    std::priority_queue<end_event, std::vector<end_event>,
                        std::greater<end_event>>
        m_end_events;
    std::unordered_map<std::uint64_t, upstream_request> m_waiting_requests;
    std::uint64_t m_next_ticket_id = 0;
    std::vector<std::int64_t> m_router_loads;
    double m_next_locate_ms = 0;
    double m_next_report_ms = 0;
    double m_measure_from_ms = 0;
    std::vector<double> m_queueing_ms;
    std::vector<double> m_first_token_ms;
    std::size_t m_requests = 0;
    std::size_t m_cache_hits = 0;
    std::size_t m_refused = 0;
    std::size_t m_over_capacity = 0;
    std::int64_t m_peak_held = 0;
    std::uint64_t m_decisions = 0;
    std::uint64_t m_decision_ns = 0;
};

} // namespace turmeric::bench
