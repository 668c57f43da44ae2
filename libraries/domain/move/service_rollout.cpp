#include "libraries/domain/move/service_rollout.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// The probability that a good version is ever found bad. Half of it is for
/// all requests together, the rest for the single routes.
constexpr double significance_level = 0.02;
constexpr double judged_routes = 16.0;
/// Probability with which the upper bound on the old version's rate holds.
constexpr double baseline_confidence = 0.95;
/// How often a further test of the judge starts, to find a version that turns
/// bad.
constexpr std::chrono::milliseconds window_interval{1'000};
constexpr std::size_t planned_windows = 64;
/// The new version's failure rate and rate of slow requests may exceed those of
/// the old one by this much.
constexpr double tolerated_failures = 0.02;
constexpr double tolerated_slow_requests = 0.1;
/// Before the new version gets all requests, it must have had this many, or
/// this fraction of those that the old one had if that is less.
constexpr std::int64_t min_requests = 20;
constexpr std::int64_t min_requests_divisor = 50;
/// The old version may go on with its last requests until this time before the
/// order's time limit.
constexpr std::chrono::milliseconds finish_reserve{1'000};
/// The new version gets all requests only while this fraction of the routers
/// reports what it sees.
constexpr double min_reporting_fraction = 0.8;
/// Reports may be lost on their way.
constexpr int max_report_age_in_intervals = 5;

move_settings machine_settings()
{
    move_settings settings;
    // The old version stops at the end, so nothing is left to it as a control.
    settings.control_share = 0;
    // Slow requests are counted by their predicted times, without limits.
    settings.baseline_requests = 0;
    settings.rollback_time_limit = std::chrono::seconds(0);
    return settings;
}

judge_settings settings_of_judge(double level)
{
    judge_settings settings;
    settings.significance_level = level;
    settings.planned_windows = planned_windows;
    settings.baseline_confidence = baseline_confidence;
    settings.margins = {tolerated_failures, tolerated_slow_requests,
                        tolerated_slow_requests};
    return settings;
}

} // namespace

service_rollout::service_rollout(const rollout_settings& settings,
                                 rollout_order order,
                                 ports::steady_time seen_at)
    : m_settings(settings)
    , m_order(std::move(order))
    , m_declared(declare_move(m_order, settings.first_share))
    , m_machine(machine_settings())
    , m_state(initial_state(m_order, settings.first_share))
    , m_started_at(seen_at)
{
}

const rollout_order& service_rollout::order() const
{
    return m_order;
}

const move_state& service_rollout::state() const
{
    return m_state;
}

std::chrono::milliseconds service_rollout::elapsed(ports::steady_time now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                 m_started_at);
}

void service_rollout::apply(const move_state& state)
{
    if (state.identity == m_state.identity && state.sequence > m_state.sequence)
    {
        m_state = state;
        cut(state.reason);
    }
}

void service_rollout::apply_elapsed(std::chrono::milliseconds elapsed,
                                    ports::steady_time now)
{
    m_started_at = std::min(m_started_at, now - elapsed);
}

void service_rollout::cut(const std::string& reason)
{
    if (m_cut_reason.empty() && m_state.phase != move_phase::finished)
    {
        m_cut_reason = reason;
    }
}

const std::string& service_rollout::cut_reason() const
{
    return m_cut_reason;
}

void service_rollout::record(const std::string& router,
                             const move_report& report, ports::steady_time now)
{
    m_reports[router] = {report, now};
}

move_report service_rollout::report_of(const std::string& router) const
{
    const auto found = m_reports.find(router);
    return found == m_reports.end() ? move_report{m_state.identity, {}}
                                    : found->second.report;
}

std::map<std::string, tally_pair> service_rollout::sum_by_route() const
{
    std::map<std::string, tally_pair> sums;
    for (const auto& [router, one] : m_reports)
    {
        for (const auto& [route, counted] : one.report.routes)
        {
            sums[route] += counted;
        }
    }
    return sums;
}

tally_pair service_rollout::total() const
{
    tally_pair sum;
    for (const auto& [route, counted] : sum_by_route())
    {
        sum += counted;
    }
    return sum;
}

version_judge& service_rollout::judge_of(const std::string& route)
{
    constexpr double half = 0.5;
    const double level = route.empty()
                             ? significance_level * half
                             : significance_level * half / judged_routes;
    return m_judges.try_emplace(route, settings_of_judge(level), tally_pair{})
        .first->second;
}

void service_rollout::judge(ports::steady_time now)
{
    std::map<std::string, tally_pair> sums = sum_by_route();
    // The routes that are not counted by themselves are in the total only.
    sums[std::string()] = total();
    m_verdict = {};
    for (const auto& [route, counted] : sums)
    {
        const version_verdict verdict = judge_of(route).judge(counted);
        if (verdict.evidence > m_verdict.evidence)
        {
            m_verdict = verdict;
        }
    }
    if (m_verdict.is_bad)
    {
        cut(std::string(name_of(m_verdict.property)));
    }
    if (m_window_started_at && now - *m_window_started_at < window_interval)
    {
        return;
    }
    m_window_started_at = now;
    for (const auto& [route, counted] : sums)
    {
        judge_of(route).start_window(counted);
    }
}

bool service_rollout::has_fresh_evidence(const rollout_input& input) const
{
    const std::chrono::milliseconds max_age =
        max_report_age_in_intervals * input.report_interval;
    const auto fresh = std::count_if(
        m_reports.begin(), m_reports.end(),
        [&](const auto& one) { return input.now - one.second.at <= max_age; });
    return static_cast<double>(fresh) >=
           min_reporting_fraction * static_cast<double>(input.routers);
}

bool service_rollout::has_enough_requests() const
{
    const tally_pair sum = total();
    const std::int64_t needed =
        std::min(min_requests, sum.from.of(judged_property::failure).trials /
                                   min_requests_divisor);
    return sum.to.of(judged_property::failure).trials >= needed;
}

bool service_rollout::may_advance(const rollout_input& input) const
{
    switch (m_state.phase)
    {
    case move_phase::waiting:
        return true;
    case move_phase::ramping:
        return input.is_version_ready && has_enough_requests();
    case move_phase::soaking:
        return input.is_old_version_idle ||
               elapsed(input.now) >= m_order.time_limit - finish_reserve;
    case move_phase::finished:
    case move_phase::rolling_back:
    case move_phase::rolled_back:
        return true;
    }
    return true;
}

std::optional<move_state>
service_rollout::next(const rollout_input& input) const
{
    move_input machine_input;
    machine_input.now = m_declared.start + elapsed(input.now);
    machine_input.fencing = m_state.fencing;
    machine_input.has_fresh_evidence = has_fresh_evidence(input);
    machine_input.are_upstreams_ready = input.is_version_started;
    machine_input.verdict = m_verdict;
    machine_input.cut_reason = m_cut_reason;
    std::optional<move_state> next_state =
        m_machine.next(m_state, m_declared, machine_input);
    const bool is_advance =
        next_state && next_state->phase != move_phase::rolling_back;
    if (is_advance && !may_advance(input))
    {
        return std::nullopt;
    }
    return next_state;
}

service_split service_rollout::split(std::size_t routers) const
{
    service_split split;
    split.service = m_order.service;
    split.to_version = m_order.to_version;
    split.identity = m_state.identity;
    split.first_requests =
        m_settings.first_requests /
        static_cast<double>(std::max<std::size_t>(1, routers));
    const bool is_stopped = !m_cut_reason.empty() ||
                            m_state.phase == move_phase::rolling_back ||
                            m_state.phase == move_phase::rolled_back;
    split.share = is_stopped ? 0 : m_state.share;
    return split;
}

} // namespace turmeric::domain
