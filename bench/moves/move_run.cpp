#include "bench/moves/move_run.hpp"

#include <cmath>
#include <utility>

namespace turmeric::bench
{

namespace
{

constexpr std::chrono::milliseconds tick{100};
constexpr double tick_s = 0.1;
/// A controller polls the routers' evidence twice a second.
constexpr std::size_t ticks_between_polls = 5;
/// From the compare-and-swap to the last router's watch.
constexpr double delivery_s = 0.3;
constexpr double failure_duration_s = 0.2;
constexpr double answer_duration_s = 1.5;
constexpr double grace_after_evidence_s = 2;
/// The longest answer, in ticks, that the schedule of ends can hold.
constexpr std::size_t longest_ticks = 200;
/// The old version alone is seen for this long before the move starts.
constexpr std::chrono::seconds lead{60};
constexpr double microseconds_per_second = 1e6;

domain::move_declaration declare(const traffic_profile& profile,
                                 ports::system_time start)
{
    domain::move_declaration declared;
    declared.route = "route";
    declared.from_version = "old";
    declared.to_version = "new";
    declared.start = start;
    declared.deadline = start + profile.window;
    declared.soak = profile.soak;
    return declared;
}

} // namespace

move_run::move_run(const move_scenario& scenario,
                   const traffic_profile& profile, std::string policy_name,
                   std::uint64_t seed)
    : m_scenario(scenario)
    , m_profile(profile)
    , m_policy_name(std::move(policy_name))
    , m_random(seed)
    , m_model(scenario)
    , m_start(m_clock.system_now() + lead)
    , m_declared(declare(profile, m_start))
    , m_machine(domain::move_settings{})
    , m_state(domain::initial_state(m_declared))
    , m_policy(make_policy(m_policy_name,
                           static_cast<double>(profile.window.count())))
    , m_oracle(static_cast<double>(profile.window.count()))
    , m_running(longest_ticks)
{
    m_outcome.kind = scenario.kind;
    m_guards.assign(profile.routers,
                    domain::move_guard(domain::guard_settings{}, m_state,
                                       m_clock.steady_now()));
}

move_outcome move_run::run()
{
    const ports::system_time end = m_declared.deadline + 2 * tick;
    while (m_clock.system_now() < end &&
           m_state.phase != domain::move_phase::rolled_back)
    {
        deliver_state();
        dispatch_tick();
        record_ended();
        if (m_tick % ticks_between_polls == 0)
        {
            step_controller();
        }
        m_clock.advance(tick);
        ++m_tick;
    }
    using domain::move_phase;
    m_outcome.is_finished_in_time = m_state.phase == move_phase::finished;
    m_outcome.is_taken_back = m_state.phase == move_phase::rolling_back ||
                              m_state.phase == move_phase::rolled_back;
    m_outcome.is_late = m_state.reason == domain::deadline_reason;
    m_outcome.reason = m_state.reason;
    m_outcome.requests = std::llround(
        m_profile.route_rate * static_cast<double>(m_profile.window.count()));
    return m_outcome;
}

double move_run::now_s() const
{
    return std::chrono::duration<double>(m_clock.system_now() - m_start)
        .count();
}

void move_run::dispatch_tick()
{
    const int count =
        std::poisson_distribution<int>(m_profile.route_rate * tick_s)(m_random);
    for (int number = 0; number < count; ++number)
    {
        dispatch_one();
    }
}

void move_run::dispatch_one()
{
    const std::size_t router = m_random() % m_guards.size();
    const std::int32_t share = m_guards[router].share(m_clock.steady_now());
    const bool is_new =
        static_cast<std::int64_t>(m_random() % domain::full_share) < share;
    const double soak_s = m_soaking_s ? now_s() - *m_soaking_s : -1;
    const bool is_bad =
        is_new &&
        m_model.is_bad(now_s(), static_cast<double>(share) / domain::full_share,
                       soak_s);
    if (is_bad)
    {
        count_bad_request();
    }
    const domain::request_observation seen =
        m_model.draw(is_new, is_bad, now_s(), m_random);
    const double duration_s =
        seen.is_failure ? failure_duration_s
                        : answer_duration_s +
                              static_cast<double>(seen.first_token->count()) /
                                  microseconds_per_second;
    const auto ticks = std::min(static_cast<std::size_t>(duration_s / tick_s),
                                longest_ticks - 1);
    m_running[(m_tick + ticks) % longest_ticks].push_back(
        {now_s() + duration_s, router, is_new, seen});
}

void move_run::count_bad_request()
{
    m_outcome.was_bad = true;
    ++m_outcome.bad_requests;
    if (!m_evidence_s || now_s() <= *m_evidence_s + grace_after_evidence_s)
    {
        return;
    }
    ++m_outcome.after_evidence_requests;
    const bool is_leaderless =
        now_s() >= m_scenario.gap_begin_s &&
        now_s() < m_scenario.gap_end_s + grace_after_evidence_s;
    m_outcome.after_evidence_leaderless_requests += is_leaderless ? 1 : 0;
}

void move_run::record_ended()
{
    std::vector<dispatched>& ended = m_running[m_tick % longest_ticks];
    for (const dispatched& request : ended)
    {
        domain::move_guard& guard = m_guards[request.router];
        domain::version_evidence one;
        one.record(request.seen);
        const domain::latency_limits limits =
            m_state.limits.value_or(domain::latency_limits{
                std::chrono::hours(1), std::chrono::hours(1)});
        m_counted += request.is_new ? domain::tally_of({}, one, limits)
                                    : domain::tally_of(one, {}, limits);
        if (!m_state.limits && !request.is_new)
        {
            m_from_evidence.merge(one);
        }
        if (m_policy->has_local_cut() &&
            guard.record(request.is_new, request.seen, m_clock.steady_now()))
        {
            m_cut_reason = guard.cut_reason();
        }
    }
    if (!ended.empty())
    {
        ended.clear();
        note_evidence();
    }
}

void move_run::note_evidence()
{
    if (m_evidence_s || m_state.share == 0)
    {
        return;
    }
    const bool is_found = m_oracle.judge(m_counted, now_s(), false).is_bad;
    if (is_found && m_outcome.was_bad)
    {
        m_evidence_s = now_s();
    }
}

void move_run::deliver_state()
{
    while (!m_in_delivery.empty() && m_in_delivery.front().first <= now_s())
    {
        for (domain::move_guard& guard : m_guards)
        {
            guard.apply(m_in_delivery.front().second, m_clock.steady_now());
        }
        m_in_delivery.pop_front();
    }
}

domain::move_input move_run::make_input()
{
    domain::move_input input;
    input.now = m_clock.system_now();
    input.fencing = 1;
    input.has_fresh_evidence = true;
    input.are_upstreams_ready = true;
    input.cut_reason = m_cut_reason;
    input.from_evidence = m_from_evidence;
    if (m_state.share > 0)
    {
        const bool is_step_end =
            input.now >= (m_state.phase == domain::move_phase::soaking
                              ? m_state.since + m_declared.soak
                              : m_machine.end_of_step(m_state, m_declared));
        input.verdict = m_policy->judge(m_counted, now_s(), is_step_end);
    }
    return input;
}

void move_run::step_controller()
{
    const bool has_controller =
        now_s() < m_scenario.gap_begin_s || now_s() >= m_scenario.gap_end_s;
    if (!has_controller)
    {
        m_had_controller = false;
        return;
    }
    if (!m_had_controller)
    {
        // The new leader knows the sums, but no earlier marks.
        m_policy = make_policy(m_policy_name,
                               static_cast<double>(m_profile.window.count()));
        m_had_controller = true;
    }
    for (domain::move_guard& guard : m_guards)
    {
        guard.record_controller_contact(1, m_clock.steady_now());
    }
    const std::optional<domain::move_state> made =
        m_machine.next(m_state, m_declared, make_input());
    if (!made)
    {
        return;
    }
    if (made->limits && !m_state.limits)
    {
        m_counted.from = m_from_evidence.tally(*made->limits);
    }
    if (made->phase == domain::move_phase::soaking)
    {
        m_soaking_s = now_s();
    }
    m_state = *made;
    m_in_delivery.emplace_back(now_s() + delivery_s, m_state);
}

} // namespace turmeric::bench
