#include "libraries/domain/move/move_guard.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

move_guard::move_guard(const guard_settings& settings, move_state state,
                       time_point now)
    : m_settings(settings)
    , m_state(std::move(state))
    , m_confirmed_share(std::min(m_state.share, m_state.capped_share))
    , m_window_start(now)
    , m_window_interval(std::max<std::chrono::system_clock::duration>(
          settings.window_interval,
          (m_state.deadline - m_state.since) /
              static_cast<std::int64_t>(settings.judge.planned_windows)))
    , m_judge(settings.judge, tally_pair{})
{
}

void move_guard::apply(const move_state& state, time_point now)
{
    if (state.identity != m_state.identity ||
        state.sequence <= m_state.sequence || state.fencing < m_state.fencing)
    {
        return;
    }
    if (state.limits != m_state.limits)
    {
        m_judge = version_judge(m_settings.judge, tally_pair{});
    }
    m_state = state;
    if (has_controller_contact_within(m_settings.stale_after, now) ||
        state.share < m_confirmed_share)
    {
        m_confirmed_share = state.share;
    }
}

void move_guard::record_controller_contact(std::int64_t fencing, time_point now)
{
    if (fencing < m_state.fencing)
    {
        return;
    }
    m_last_contact = now;
    m_confirmed_share = m_state.share;
}

bool move_guard::has_controller_contact_within(std::chrono::seconds age,
                                               time_point now) const
{
    return m_last_contact && now - *m_last_contact <= age;
}

std::int32_t move_guard::share(time_point now) const
{
    if (m_state.phase == move_phase::finished)
    {
        return full_share;
    }
    if (!m_cut_reason.empty())
    {
        return 0;
    }
    if (!has_controller_contact_within(m_settings.capped_after, now))
    {
        return std::min(m_confirmed_share, m_state.capped_share);
    }
    return m_confirmed_share;
}

bool move_guard::record(bool is_new_version,
                        const request_observation& observation, time_point now)
{
    (is_new_version ? m_to : m_from).record(observation);
    if (!is_new_version || !m_cut_reason.empty())
    {
        return false;
    }
    if (is_adverse(observation))
    {
        judge();
    }
    if (now - m_window_start >= m_window_interval)
    {
        m_judge.start_window(tally());
        m_window_start = now;
    }
    return !m_cut_reason.empty();
}

bool move_guard::is_adverse(const request_observation& observation) const
{
    const bool is_slow =
        m_state.limits &&
        (observation.first_token.value_or(std::chrono::microseconds(0)) >
             m_state.limits->first_token ||
         observation.worst_gap.value_or(std::chrono::microseconds(0)) >
             m_state.limits->token_gap);
    return observation.is_failure || is_slow;
}

void move_guard::judge()
{
    const version_verdict verdict = m_judge.judge(tally());
    if (verdict.is_bad)
    {
        m_cut_reason = name_of(verdict.property);
    }
}

tally_pair move_guard::tally() const
{
    constexpr std::chrono::microseconds unlimited = std::chrono::hours(1);
    const latency_limits limits =
        m_state.limits.value_or(latency_limits{unlimited, unlimited});
    return tally_of(m_from, m_to, limits);
}

void move_guard::cut(std::int64_t fencing, const std::string& reason)
{
    if (fencing >= m_state.fencing && m_cut_reason.empty())
    {
        m_cut_reason = reason;
    }
}

const std::string& move_guard::cut_reason() const
{
    return m_cut_reason;
}

const version_evidence& move_guard::from_evidence() const
{
    return m_from;
}

const version_evidence& move_guard::to_evidence() const
{
    return m_to;
}

const move_state& move_guard::state() const
{
    return m_state;
}

} // namespace turmeric::domain
