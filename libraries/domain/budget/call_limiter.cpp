#include "libraries/domain/budget/call_limiter.hpp"

#include <algorithm>

namespace turmeric::domain
{

call_limiter::call_limiter(double calls_per_second, double burst)
    : m_rate(calls_per_second)
    , m_burst(burst)
    , m_available(burst)
{
}

bool call_limiter::try_take(ports::steady_time now)
{
    const std::chrono::duration<double> elapsed = now - m_last;
    m_available = std::min(m_burst, m_available + elapsed.count() * m_rate);
    m_last = now;
    if (m_available < 1.0)
    {
        return false;
    }
    m_available -= 1.0;
    return true;
}

} // namespace turmeric::domain
