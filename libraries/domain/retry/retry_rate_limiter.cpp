#include "libraries/domain/retry/retry_rate_limiter.hpp"

#include <cassert>

namespace turmeric::domain
{

namespace
{

/// Requests and retries are counted in intervals of this length.
constexpr std::chrono::milliseconds interval_length{500};
/// The part of the limit that is used. The rest is a reserve for retries that
/// the upstream counts later than this router.
constexpr double usable_fraction = 0.75;

} // namespace

retry_rate_limiter::retry_rate_limiter(const retry_rate_limits& limits)
    : m_limits(limits)
{
}

void retry_rate_limiter::set_routers(std::int64_t routers)
{
    assert(routers >= 1);
    m_routers = routers;
}

retry_rate_limiter::interval&
retry_rate_limiter::current(const std::string& service, ports::steady_time now)
{
    const std::int64_t number = now.time_since_epoch() / interval_length;
    const std::int64_t interval_count = m_limits.window / interval_length + 1;
    std::deque<interval>& intervals = m_services[service];
    while (!intervals.empty() &&
           intervals.front().number <= number - interval_count)
    {
        intervals.pop_front();
    }
    if (intervals.empty() || intervals.back().number != number)
    {
        intervals.push_back({number, 0, 0});
    }
    return intervals.back();
}

void retry_rate_limiter::record_request(const std::string& service,
                                        ports::steady_time now)
{
    ++current(service, now).requests;
}

bool retry_rate_limiter::try_acquire(const std::string& service,
                                     ports::steady_time now)
{
    interval& newest = current(service, now);
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const interval& counted : m_services[service])
    {
        requests += counted.requests;
        retries += counted.retries;
    }
    const double allowed =
        usable_fraction * (m_limits.ratio * static_cast<double>(requests) +
                           m_limits.slack / static_cast<double>(m_routers));
    if (static_cast<double>(retries) + 1 > allowed)
    {
        return false;
    }
    ++newest.retries;
    return true;
}

} // namespace turmeric::domain
