#include "libraries/domain/placement/named_rate_limits.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

/// The smallest share of a limit for which a router sends, in requests per
/// second. Routers whose share would be smaller leave it to the others.
constexpr double min_share = 0.5;
/// The rate at which requests are sent whatever the limit, in requests per
/// second, because only a response tells that the limit has ended.
constexpr double min_rate = 0.1;
/// The first router of those that send requests makes sure that a limit is
/// observed at least this often, the second at least half as often, and so on.
constexpr std::chrono::seconds observation_interval{1};
/// How long peers are told of an observation.
constexpr std::chrono::seconds report_time{30};
constexpr std::size_t max_reported_limits = 64;
/// Bounds the memory for limits of upstreams that only peers know.
constexpr std::size_t max_limits = 4'096;

} // namespace

void named_rate_limits::set_routers(const router_ranking& routers)
{
    m_routers = routers;
    for (auto& [incarnation, state] : m_limits)
    {
        state.position = m_routers.position_for(incarnation);
    }
}

void named_rate_limits::keep_only(const std::set<std::uint64_t>& incarnations)
{
    std::erase_if(m_limits, [&](const auto& entry)
                  { return incarnations.count(entry.first) == 0; });
}

named_rate_limits::limit_state&
named_rate_limits::find_or_add(std::uint64_t incarnation)
{
    const auto [entry, is_added] = m_limits.try_emplace(incarnation);
    if (is_added)
    {
        entry->second.limit.incarnation = incarnation;
        entry->second.position = m_routers.position_for(incarnation);
    }
    return entry->second;
}

bool named_rate_limits::record_response(std::uint64_t incarnation,
                                        std::optional<double> per_second,
                                        ports::steady_time sent_at,
                                        ports::steady_time now)
{
    const auto known = m_limits.find(incarnation);
    const bool is_limited =
        known != m_limits.end() && known->second.limit.per_second;
    if (!per_second &&
        (!is_limited || sent_at <= known->second.limit.observed_at))
    {
        return false;
    }
    limit_state& state = find_or_add(incarnation);
    const bool is_changed = state.limit.per_second != per_second;
    if (!is_limited)
    {
        // The upstream has just got requests at an unlimited rate.
        state.last_sent_at = now;
    }
    state.limit.per_second = per_second;
    state.limit.observed_at = now;
    state.is_own_observation = true;
    return is_changed;
}

void named_rate_limits::merge(const std::vector<named_rate_limit>& observed)
{
    for (const named_rate_limit& one : observed)
    {
        if (m_limits.size() >= max_limits &&
            m_limits.count(one.incarnation) == 0)
        {
            return;
        }
        limit_state& state = find_or_add(one.incarnation);
        if (one.observed_at > state.limit.observed_at)
        {
            state.limit = one;
            state.is_own_observation = false;
        }
    }
}

std::size_t named_rate_limits::count_holders(double per_second) const
{
    const double holders = std::clamp(per_second / min_share, 1.0,
                                      static_cast<double>(m_routers.size()));
    return static_cast<std::size_t>(holders);
}

std::optional<double>
named_rate_limits::own_rate(const limit_state& state) const
{
    if (!state.limit.per_second)
    {
        return std::nullopt;
    }
    const std::size_t holders = count_holders(*state.limit.per_second);
    if (state.position >= holders)
    {
        return 0;
    }
    return std::max(min_rate, *state.limit.per_second) /
           static_cast<double>(holders);
}

std::optional<double>
named_rate_limits::own_rate(std::uint64_t incarnation) const
{
    const auto found = m_limits.find(incarnation);
    return found == m_limits.end() ? std::nullopt : own_rate(found->second);
}

bool named_rate_limits::may_send(std::uint64_t incarnation,
                                 ports::steady_time now) const
{
    const auto found = m_limits.find(incarnation);
    if (found == m_limits.end())
    {
        return true;
    }
    const std::optional<double> rate = own_rate(found->second);
    if (!rate)
    {
        return true;
    }
    if (*rate <= 0)
    {
        return false;
    }
    const std::chrono::duration<double> interval(1.0 / *rate);
    return !found->second.last_sent_at ||
           now - *found->second.last_sent_at >= interval;
}

bool named_rate_limits::is_observation_due(std::uint64_t incarnation,
                                           ports::steady_time now) const
{
    const auto found = m_limits.find(incarnation);
    if (found == m_limits.end() || !found->second.limit.per_second)
    {
        return false;
    }
    const limit_state& state = found->second;
    const auto interval = observation_interval * (state.position + 1);
    return now - state.limit.observed_at >= interval &&
           may_send(incarnation, now);
}

void named_rate_limits::note_sent(std::uint64_t incarnation,
                                  ports::steady_time now)
{
    const auto found = m_limits.find(incarnation);
    if (found != m_limits.end())
    {
        found->second.last_sent_at = now;
    }
}

std::vector<named_rate_limit>
named_rate_limits::report(ports::steady_time now) const
{
    std::vector<named_rate_limit> reported;
    for (const auto& [incarnation, state] : m_limits)
    {
        if (state.is_own_observation &&
            now - state.limit.observed_at <= report_time)
        {
            reported.push_back(state.limit);
        }
    }
    std::sort(reported.begin(), reported.end(),
              [](const named_rate_limit& left, const named_rate_limit& right)
              { return left.observed_at > right.observed_at; });
    reported.resize(std::min(reported.size(), max_reported_limits));
    return reported;
}

} // namespace turmeric::domain
