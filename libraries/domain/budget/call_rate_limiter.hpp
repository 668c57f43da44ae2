#pragma once

#include "libraries/ports/clock.hpp"

namespace turmeric::domain
{

/// A token bucket that limits the rate of calls. Not thread safe.
class call_rate_limiter
{
public:
    /// Preconditions: both are positive.
    call_rate_limiter(double calls_per_second, double burst);

    /// Takes a token for one call and returns true, or returns false if the
    /// limit is reached at `now`. Not thread safe.
    bool try_take(ports::steady_time now);

private:
    double m_rate;
    double m_burst;
    double m_available;
    ports::steady_time m_updated_at;
};

} // namespace turmeric::domain
