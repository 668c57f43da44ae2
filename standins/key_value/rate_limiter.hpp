#pragma once

#include "libraries/ports/clock.hpp"

#include <algorithm>
#include <optional>

namespace turmeric::standins
{

/// A token bucket that holds a tenth of a second's calls. Not thread safe.
class rate_limiter
{
public:
    /// Tells whether a call at `now` is within `rate` calls a second; no rate
    /// allows all. Precondition: `now` does not go back.
    bool allows(std::optional<double> rate, ports::steady_time now)
    {
        if (!rate)
        {
            return true;
        }
        if (*rate <= 0)
        {
            return false;
        }
        constexpr double burst_seconds = 0.1;
        const double most = std::max(1.0, *rate * burst_seconds);
        const double elapsed =
            std::chrono::duration<double>(now - m_filled_at).count();
        m_left = std::min(most, m_left + elapsed * *rate);
        m_filled_at = now;
        if (m_left < 1.0)
        {
            return false;
        }
        m_left -= 1.0;
        return true;
    }

private:
    double m_left = 0;
    ports::steady_time m_filled_at{};
};

} // namespace turmeric::standins
