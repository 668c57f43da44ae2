#pragma once

#include "bench/routing/policies.hpp"
#include "bench/routing/upstream_fake.hpp"
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

/// What a run measured after its warm-up.
struct routing_figures
{
    std::size_t requests = 0;
    double queueing_p50_ms = 0;
    double queueing_p95_ms = 0;
    double queueing_p99_ms = 0;
    double first_token_p95_ms = 0;
    double cache_hit_percent = 0;
    double refused_percent = 0;
    /// The most that an upstream held relative to its capacity.
    double peak_held_percent = 0;
    /// Requests sent to an upstream that was full.
    double over_capacity_percent = 0;
    double cpu_ns_per_decision = 0;
};

/// Steps one policy in each router against fake upstreams on a simulated
/// time. Not thread safe.
class routing_run
{
public:
    /// Not thread safe.
    routing_run(const workload_settings& settings, const std::string& policy,
                double report_lag_ms);

    /// Runs for the given times. Call it once. Not thread safe.
    routing_figures run(double warm_up_ms, double measured_ms);

private:
    struct end_event
    {
        double at_ms = 0;
        running_request request;

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
        double taken_ms = 0;
        std::vector<report> reports;
    };

    /// Does what locate answers with a limited life do.
    void place_accounts(double now_ms);
    void take_reports(double now_ms);
    void deliver(const load_sample& sample);
    void arrive(const arrival& request);
    bool send(const running_request& request, double now_ms);
    void begin(const running_request& request, double now_ms);
    void end(const end_event& event);
    void drain(std::size_t router, double now_ms);
    void refuse_overdue(double now_ms);
    [[nodiscard]] routing_figures figures();

    workload_settings m_settings;
    double m_report_lag_ms;
    workload m_workload;
    std::vector<std::unique_ptr<routing_policy>> m_policies;
    std::vector<domain::admission_queue> m_queues;
    std::vector<upstream_fake> m_upstreams;
    std::deque<load_sample> m_samples;
    std::vector<std::vector<std::size_t>> m_account_routers;
    std::priority_queue<end_event, std::vector<end_event>,
                        std::greater<end_event>>
        m_ends;
    std::unordered_map<std::uint64_t, running_request> m_waiting;
    std::uint64_t m_ticket = 0;
    std::vector<std::int64_t> m_loads;
    double m_next_placing_ms = 0;
    double m_next_report_ms = 0;
    double m_measure_from_ms = 0;
    std::vector<double> m_queueing_ms;
    std::vector<double> m_first_token_ms;
    std::size_t m_requests = 0;
    std::size_t m_hits = 0;
    std::size_t m_refused = 0;
    std::size_t m_over_capacity = 0;
    std::int64_t m_peak_held = 0;
    std::uint64_t m_decisions = 0;
    std::uint64_t m_decision_ns = 0;
};

} // namespace turmeric::bench
