#include "libraries/domain/routing/upstream_health.hpp"

#include <algorithm>

namespace turmeric::domain
{

upstream_health::upstream_health(const health_limits& limits)
    : m_limits(limits)
{
}

void upstream_health::record(call_result outcome, ports::steady_time now)
{
    if (outcome == call_result::cancelled || is_ejected(now))
    {
        return;
    }
    if (outcome == call_result::succeeded)
    {
        m_failures = 0;
        m_missing = std::max(m_missing - 1, 0);
        if (m_missing == 0)
        {
            m_ejections = 0;
        }
        return;
    }
    ++m_failures;
    bool is_returning = m_missing > 0;
    if (is_returning || m_failures >= m_limits.failures_to_eject)
    {
        eject(now);
    }
}

void upstream_health::eject(ports::steady_time now)
{
    constexpr int most_doublings = 16;
    std::chrono::milliseconds pause =
        m_limits.first_ejection * (1 << std::min(m_ejections, most_doublings));
    m_ejected_until = now + std::min(pause, m_limits.longest_ejection);
    ++m_ejections;
    m_failures = 0;
    m_missing = m_limits.successes_to_return;
}

std::int64_t upstream_health::allowed(std::int64_t share,
                                      ports::steady_time now) const
{
    if (m_missing == 0 || share == 0)
    {
        return share;
    }
    if (is_ejected(now))
    {
        return 0;
    }
    std::int64_t seen = m_limits.successes_to_return - m_missing;
    std::int64_t part = share * seen / m_limits.successes_to_return;
    return std::max<std::int64_t>(part, 1);
}

bool upstream_health::is_ejected(ports::steady_time now) const
{
    return now < m_ejected_until;
}

} // namespace turmeric::domain
