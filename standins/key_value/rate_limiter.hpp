#pragma once

#include "libraries/ports/clock.hpp"

#include <algorithm>
#include <optional>

namespace turmeric::standins
{

/// A token bucket. Its capacity is the number of calls allowed in a tenth of a
/// second, at least one. Not thread safe.
class rate_limiter
{
public:
    /// Returns whether a call at `now` is within `rate` calls per second, and
    /// counts the call if so. Without a rate all calls are allowed, with a rate
    /// of 0 none. Precondition: `now` is not before that of the last call.
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
        const double max_tokens = std::max(1.0, *rate * burst_seconds);
        const double elapsed_seconds =
            std::chrono::duration<double>(now - m_refilled_at).count();
        m_tokens = std::min(max_tokens, m_tokens + elapsed_seconds * *rate);
        m_refilled_at = now;
        if (m_tokens < 1.0)
        {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_tokens = 0;
    ports::steady_time m_refilled_at{};
};

} // namespace turmeric::standins
