#include "bench/moves/move_run.hpp"

#include <cmath>
#include <utility>

namespace turmeric::bench
{

namespace
{

constexpr std::chrono::milliseconds tick{100};
constexpr double tick_s = 0.1;
/// The controller polls the routers' evidence every 500 ms.
constexpr std::size_t ticks_between_polls = 5;
/// Time from the compare-and-swap in the store until the watches of all
/// routers have delivered the state.
constexpr double delivery_s = 0.3;
constexpr double failure_duration_s = 0.2;
constexpr double response_duration_s = 1.5;
constexpr double grace_after_evidence_s = 2;
/// Limit on the duration of a response, in ticks; it is the size of the ring
/// buffer of requests in flight.
constexpr std::size_t max_response_ticks = 200;
/// Period before the move in which only the old version serves requests.
constexpr std::chrono::seconds warm_up{60};
constexpr double microseconds_per_second = 1e6;

domain::move_declaration make_declaration(const traffic_profile& profile,
                                          ports::system_time start)
{
    domain::move_declaration declaration;
    declaration.route = "route";
    declaration.from_version = "old";
    declaration.to_version = "new";
    declaration.start = start;
    declaration.deadline = start + profile.window;
    declaration.soak = profile.soak;
    return declaration;
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
    , m_start(m_clock.system_now() + warm_up)
    , m_declaration(make_declaration(profile, m_start))
    , m_state_machine(domain::move_settings{})
    , m_state(domain::initial_state(m_declaration))
    , m_policy(make_policy(m_policy_name,
                           static_cast<double>(profile.window.count())))
    , m_immediate_judge(static_cast<double>(profile.window.count()))
    , m_requests_by_end_tick(max_response_ticks)
{
    m_outcome.kind = scenario.kind;
    m_guards.assign(profile.routers,
                    domain::move_guard(domain::guard_settings{}, m_state,
                                       m_clock.steady_now()));
}

move_outcome move_run::run()
{
    const ports::system_time end = m_declaration.deadline + 2 * tick;
    while (m_clock.system_now() < end &&
           m_state.phase != domain::move_phase::rolled_back)
    {
        deliver_state();
        dispatch_tick();
        record_ended_requests();
        if (m_tick % ticks_between_polls == 0)
        {
            step_controller();
        }
        m_clock.advance(tick);
        ++m_tick;
    }
    using domain::move_phase;
    m_outcome.is_finished_in_time = m_state.phase == move_phase::finished;
    m_outcome.is_rolled_back = m_state.phase == move_phase::rolling_back ||
                               m_state.phase == move_phase::rolled_back;
    m_outcome.is_deadline_rollback = m_state.reason == domain::deadline_reason;
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
    const double soak_s = m_soak_start_s ? now_s() - *m_soak_start_s : -1;
    const bool is_bad =
        is_new &&
        m_model.is_bad(now_s(), static_cast<double>(share) / domain::full_share,
                       soak_s);
    if (is_bad)
    {
        count_bad_request();
    }
    const domain::request_observation observation =
        m_model.draw(is_new, is_bad, now_s(), m_random);
    const double duration_s =
        observation.is_failure
            ? failure_duration_s
            : response_duration_s +
                  static_cast<double>(observation.first_token->count()) /
                      microseconds_per_second;
    const auto ticks = std::min(static_cast<std::size_t>(duration_s / tick_s),
                                max_response_ticks - 1);
    m_requests_by_end_tick[(m_tick + ticks) % max_response_ticks].push_back(
        {now_s() + duration_s, router, is_new, observation});
}

void move_run::count_bad_request()
{
    m_outcome.was_bad = true;
    ++m_outcome.bad_requests;
    if (!m_evidence_at_s ||
        now_s() <= *m_evidence_at_s + grace_after_evidence_s)
    {
        return;
    }
    ++m_outcome.after_evidence_requests;
    const bool is_leaderless =
        now_s() >= m_scenario.leaderless_begin_s &&
        now_s() < m_scenario.leaderless_end_s + grace_after_evidence_s;
    m_outcome.after_evidence_leaderless_requests += is_leaderless ? 1 : 0;
}

void move_run::record_ended_requests()
{
    std::vector<dispatched_request>& ended =
        m_requests_by_end_tick[m_tick % max_response_ticks];
    for (const dispatched_request& request : ended)
    {
        domain::move_guard& guard = m_guards[request.router];
        domain::version_evidence one;
        one.record(request.observation);
        const domain::latency_limits limits =
            m_state.limits.value_or(domain::latency_limits{
                std::chrono::hours(1), std::chrono::hours(1)});
        m_tallies += request.is_new ? domain::tally_of({}, one, limits)
                                    : domain::tally_of(one, {}, limits);
        if (!m_state.limits && !request.is_new)
        {
            m_from_evidence.merge(one);
        }
        if (m_policy->has_local_cut() &&
            guard.record(request.is_new, request.observation,
                         m_clock.steady_now()))
        {
            m_cut_reason = guard.cut_reason();
        }
    }
    if (!ended.empty())
    {
        ended.clear();
        record_evidence_time();
    }
}

void move_run::record_evidence_time()
{
    if (m_evidence_at_s || m_state.share == 0)
    {
        return;
    }
    const bool is_found =
        m_immediate_judge.judge(m_tallies, now_s(), false).is_bad;
    if (is_found && m_outcome.was_bad)
    {
        m_evidence_at_s = now_s();
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
            input.now >=
            (m_state.phase == domain::move_phase::soaking
                 ? m_state.since + m_declaration.soak
                 : m_state_machine.end_of_step(m_state, m_declaration));
        input.verdict = m_policy->judge(m_tallies, now_s(), is_step_end);
    }
    return input;
}

void move_run::step_controller()
{
    const bool has_controller = now_s() < m_scenario.leaderless_begin_s ||
                                now_s() >= m_scenario.leaderless_end_s;
    if (!has_controller)
    {
        m_had_controller = false;
        return;
    }
    if (!m_had_controller)
    {
        // A new leader reads the tallies from the routers, but does not have
        // the windows that the previous leader started.
        m_policy = make_policy(m_policy_name,
                               static_cast<double>(m_profile.window.count()));
        m_had_controller = true;
    }
    for (domain::move_guard& guard : m_guards)
    {
        guard.record_controller_contact(1, m_clock.steady_now());
    }
    const std::optional<domain::move_state> next_state =
        m_state_machine.next(m_state, m_declaration, make_input());
    if (!next_state)
    {
        return;
    }
    if (next_state->limits && !m_state.limits)
    {
        m_tallies.from = m_from_evidence.tally(*next_state->limits);
    }
    if (next_state->phase == domain::move_phase::soaking)
    {
        m_soak_start_s = now_s();
    }
    m_state = *next_state;
    m_in_delivery.emplace_back(now_s() + delivery_s, m_state);
}

} // namespace turmeric::bench
