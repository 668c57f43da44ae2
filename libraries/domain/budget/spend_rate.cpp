#include "libraries/domain/budget/spend_rate.hpp"

#include <algorithm>
#include <cmath>

namespace turmeric::domain
{

using seconds_double = std::chrono::duration<double>;

spend_rate::spend_rate(std::chrono::seconds window)
    : m_window(window)
{
}

double spend_rate::decayed(ports::steady_time now) const
{
    const seconds_double elapsed = now - m_updated_at;
    return m_sum * std::exp(-elapsed / m_window);
}

void spend_rate::add(tokens spent, ports::steady_time now)
{
    if (!m_started_at.has_value())
    {
        if (spent == 0)
        {
            return;
        }
        m_started_at = now;
        m_updated_at = now;
    }
    m_sum = decayed(now) + static_cast<double>(spent);
    m_updated_at = now;
}

tokens spend_rate::per_minute(ports::steady_time now) const
{
    if (!m_started_at.has_value())
    {
        return 0;
    }
    constexpr seconds_double minute = std::chrono::minutes(1);
    constexpr seconds_double max_min_elapsed = std::chrono::seconds(10);
    const seconds_double min_elapsed = std::min(m_window / 2, max_min_elapsed);
    // Until a full window has passed, the sum covers only the time since the
    // first spending, so the rate is divided by the covered fraction.
    const seconds_double elapsed =
        std::max<seconds_double>(now - *m_started_at, min_elapsed);
    const double covered_fraction = 1.0 - std::exp(-elapsed / m_window);
    const double rate = decayed(now) / (m_window.count() * covered_fraction);
    return static_cast<tokens>(rate * minute.count());
}

} // namespace turmeric::domain
