#include "bench/routing/routing_run.hpp"

#include "libraries/domain/membership/locate.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace turmeric::bench
{

namespace
{

constexpr double percent = 100;
const std::string lane = "v1";

ports::steady_time at(double ms)
{
    constexpr double ns_per_ms = 1e6;
    return ports::steady_time(
        std::chrono::nanoseconds(static_cast<std::int64_t>(ms * ns_per_ms)));
}

double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    std::size_t index =
        static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    index = std::min(index, values.size() - 1);
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

double percent_of(std::size_t part, std::size_t total)
{
    return total == 0 ? 0
                      : percent * static_cast<double>(part) /
                            static_cast<double>(total);
}

} // namespace

routing_run::routing_run(const workload_settings& settings,
                         const std::string& policy, double report_lag_ms)
    : m_settings(settings)
    , m_report_lag_ms(report_lag_ms)
    , m_workload(settings)
{
    for (std::size_t router = 0; router < settings.routers; ++router)
    {
        m_policies.push_back(
            make_policy(policy, {router, settings.routers, settings.upstreams,
                                 settings.capacity, settings.seed}));
        m_queues.emplace_back(domain::admission_limits{});
    }
    for (std::size_t index = 0; index < settings.upstreams; ++index)
    {
        m_upstreams.emplace_back(settings.capacity, settings.cached_prefixes);
    }
    m_router_loads.assign(settings.routers, 0);
    refresh_locate_responses(0);
}

void routing_run::refresh_locate_responses(double now_ms)
{
    if (now_ms < m_next_locate_ms)
    {
        return;
    }
    domain::locate_limits limits;
    m_next_locate_ms += static_cast<double>(limits.time_to_live.count());
    m_account_routers.clear();
    domain::membership_snapshot snapshot;
    for (std::size_t router = 0; router < m_policies.size(); ++router)
    {
        domain::member_status& status = snapshot.members.emplace_back();
        status.row.identity.incarnation = "router" + std::to_string(router);
        status.row.identity.address = std::to_string(router);
        status.row.share = m_policies[router]->locate_weight();
        status.row.load = m_router_loads[router] +
                          static_cast<std::int64_t>(m_queues[router].size());
        status.is_eligible = true;
    }
    for (std::size_t account = 0; account < m_workload.accounts(); ++account)
    {
        domain::locate_response response = domain::locate(
            snapshot,
            {std::to_string(account), m_workload.traffic_fraction(account)},
            limits);
        std::vector<std::size_t>& routers = m_account_routers.emplace_back();
        for (const domain::located_router& located : response.routers)
        {
            routers.insert(routers.end(),
                           static_cast<std::size_t>(located.weight),
                           std::stoul(located.address));
        }
    }
}

void routing_run::collect_load_reports(double now_ms)
{
    constexpr double report_every_ms = 1000;
    while (now_ms >= m_next_report_ms)
    {
        load_sample sample{m_next_report_ms, {}};
        for (const fake_upstream& upstream : m_upstreams)
        {
            sample.reports.push_back(
                {upstream.held() - upstream.waiting(), upstream.waiting()});
        }
        m_samples.push_back(std::move(sample));
        while (m_samples.front().taken_at_ms + m_report_lag_ms <=
               m_next_report_ms)
        {
            deliver_reports(m_samples.front());
            m_samples.pop_front();
            if (m_samples.empty())
            {
                break;
            }
        }
        m_next_report_ms += report_every_ms;
    }
}

void routing_run::deliver_reports(const load_sample& sample)
{
    for (const std::unique_ptr<routing_policy>& policy : m_policies)
    {
        for (std::size_t index = 0; index < sample.reports.size(); ++index)
        {
            const report& reported = sample.reports[index];
            policy->update_load(index, reported.running, reported.waiting,
                                at(sample.taken_at_ms));
        }
    }
}

void routing_run::handle_arrival(const arrival& request)
{
    const std::vector<std::size_t>& routers =
        m_account_routers[request.account];
    m_requests += request.at_ms >= m_measure_from_ms ? 1 : 0;
    upstream_request routed_request;
    routed_request.router = routers[request.router_draw % routers.size()];
    routed_request.prefix = request.prefix;
    routed_request.arrived_ms = request.at_ms;
    routed_request.decode_ms = request.decode_ms;
    domain::admission_queue& queue = m_queues[routed_request.router];
    if (queue.size() == 0 && try_dispatch(routed_request, request.at_ms))
    {
        return;
    }
    domain::admission_ticket ticket;
    ticket.id = m_next_ticket_id++;
    ticket.account = std::to_string(request.account);
    ticket.lane = lane;
    result<domain::admission> offered =
        queue.offer(ticket, false, at(request.at_ms));
    if (!offered)
    {
        m_refused += request.at_ms >= m_measure_from_ms ? 1 : 0;
        return;
    }
    m_waiting_requests[ticket.id] = routed_request;
}

bool routing_run::try_dispatch(const upstream_request& request, double now_ms)
{
    auto before = std::chrono::steady_clock::now();
    std::optional<std::size_t> chosen = m_policies[request.router]->choose(
        request.prefix * 0x9e3779b97f4a7c15ULL, at(now_ms));
    auto after = std::chrono::steady_clock::now();
    ++m_decisions;
    m_decision_ns += static_cast<std::uint64_t>(
        std::chrono::nanoseconds(after - before).count());
    if (!chosen)
    {
        return false;
    }
    ++m_router_loads[request.router];
    upstream_request sent = request;
    sent.upstream = *chosen;
    fake_upstream& upstream = m_upstreams[*chosen];
    bool is_started = upstream.accept(sent);
    m_peak_held = std::max(m_peak_held, upstream.held());
    if (is_started)
    {
        start_request(sent, now_ms);
    }
    else if (now_ms >= m_measure_from_ms)
    {
        ++m_over_capacity;
    }
    return true;
}

void routing_run::start_request(const upstream_request& request, double now_ms)
{
    bool is_cache_hit = m_upstreams[request.upstream].touch(request.prefix);
    double prefill_ms = is_cache_hit ? m_settings.cached_prefill_ms
                                     : m_settings.uncached_prefill_ms;
    if (request.arrived_ms >= m_measure_from_ms)
    {
        double queueing_ms = now_ms - request.arrived_ms;
        m_queueing_ms.push_back(queueing_ms);
        m_first_token_ms.push_back(queueing_ms + prefill_ms);
        m_cache_hits += is_cache_hit ? 1 : 0;
    }
    m_end_events.push({now_ms + prefill_ms + request.decode_ms, request});
}

void routing_run::finish_request(const end_event& event)
{
    const upstream_request& done = event.request;
    std::optional<upstream_request> next = m_upstreams[done.upstream].finish();
    --m_router_loads[done.router];
    m_policies[done.router]->finish(done.upstream, at(event.at_ms));
    if (next)
    {
        start_request(*next, event.at_ms);
    }
    dispatch_queued(done.router, event.at_ms);
}

void routing_run::dispatch_queued(std::size_t router, double now_ms)
{
    std::optional<domain::admission_ticket> ticket =
        m_queues[router].next(lane, at(now_ms));
    if (ticket)
    {
        auto found = m_waiting_requests.find(ticket->id);
        if (!try_dispatch(found->second, now_ms))
        {
            m_refused += now_ms >= m_measure_from_ms ? 1 : 0;
        }
        m_waiting_requests.erase(found);
    }
}

void routing_run::refuse_expired(double now_ms)
{
    for (domain::admission_queue& queue : m_queues)
    {
        for (const domain::refused_ticket& refused : queue.expire(at(now_ms)))
        {
            m_waiting_requests.erase(refused.ticket.id);
            m_refused += now_ms >= m_measure_from_ms ? 1 : 0;
        }
    }
}

routing_figures routing_run::run(double warm_up_ms, double measured_ms)
{
    constexpr double expire_every_ms = 100;
    double next_expiry_ms = 0;
    m_measure_from_ms = warm_up_ms;
    arrival next = m_workload.next();
    while (next.at_ms < warm_up_ms + measured_ms)
    {
        while (!m_end_events.empty() && m_end_events.top().at_ms <= next.at_ms)
        {
            end_event event = m_end_events.top();
            m_end_events.pop();
            finish_request(event);
        }
        collect_load_reports(next.at_ms);
        refresh_locate_responses(next.at_ms);
        if (next.at_ms >= next_expiry_ms)
        {
            refuse_expired(next.at_ms);
            next_expiry_ms = next.at_ms + expire_every_ms;
        }
        handle_arrival(next);
        next = m_workload.next();
    }
    return figures();
}

routing_figures routing_run::figures()
{
    constexpr double p50 = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    routing_figures measured;
    measured.requests = m_requests;
    measured.queueing_p50_ms = percentile(m_queueing_ms, p50);
    measured.queueing_p95_ms = percentile(m_queueing_ms, p95);
    measured.queueing_p99_ms = percentile(m_queueing_ms, p99);
    measured.first_token_p95_ms = percentile(m_first_token_ms, p95);
    measured.cache_hit_percent = percent_of(m_cache_hits, m_queueing_ms.size());
    measured.refused_percent = percent_of(m_refused, measured.requests);
    measured.over_capacity_percent =
        percent_of(m_over_capacity, measured.requests);
    measured.peak_held_percent = percent * static_cast<double>(m_peak_held) /
                                 static_cast<double>(m_settings.capacity);
    measured.cpu_ns_per_decision =
        static_cast<double>(m_decision_ns) / static_cast<double>(m_decisions);
    return measured;
}

} // namespace turmeric::bench
