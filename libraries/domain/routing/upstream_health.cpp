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
        m_consecutive_failures = 0;
        m_successes_needed = std::max(m_successes_needed - 1, 0);
        if (m_successes_needed == 0)
        {
            m_ejections = 0;
        }
        return;
    }
    ++m_consecutive_failures;
    bool is_recovering = m_successes_needed > 0;
    if (is_recovering || m_consecutive_failures >= m_limits.failures_to_eject)
    {
        eject(now);
    }
}

void upstream_health::eject(ports::steady_time now)
{
    constexpr int max_doublings = 16;
    std::chrono::milliseconds duration =
        m_limits.first_ejection * (1 << std::min(m_ejections, max_doublings));
    m_ejected_until = now + std::min(duration, m_limits.max_ejection);
    ++m_ejections;
    m_consecutive_failures = 0;
    m_successes_needed = m_limits.successes_to_recover;
}

std::int64_t upstream_health::allowed(std::int64_t share,
                                      ports::steady_time now) const
{
    if (m_successes_needed == 0 || share == 0)
    {
        return share;
    }
    if (is_ejected(now))
    {
        return 0;
    }
    std::int64_t successes = m_limits.successes_to_recover - m_successes_needed;
    std::int64_t part = share * successes / m_limits.successes_to_recover;
    return std::max<std::int64_t>(part, 1);
}

bool upstream_health::is_ejected(ports::steady_time now) const
{
    return now < m_ejected_until;
}

} // namespace turmeric::domain
