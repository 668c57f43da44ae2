#include "libraries/domain/budget/call_rate_limiter.hpp"

#include <algorithm>

namespace turmeric::domain
{

call_rate_limiter::call_rate_limiter(double calls_per_second, double burst)
    : m_rate(calls_per_second)
    , m_burst(burst)
    , m_available(burst)
{
}

bool call_rate_limiter::try_take(ports::steady_time now)
{
    const std::chrono::duration<double> elapsed = now - m_updated_at;
    m_available = std::min(m_burst, m_available + elapsed.count() * m_rate);
    m_updated_at = now;
    if (m_available < 1.0)
    {
        return false;
    }
    m_available -= 1.0;
    return true;
}

} // namespace turmeric::domain
