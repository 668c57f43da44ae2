#include "libraries/domain/retry/retry_window.hpp"

#include <cassert>

namespace turmeric::domain
{

namespace
{

constexpr std::chrono::milliseconds interval_length{500};
/// What is left unused of the bound, for repeats that are counted later at
/// the upstream than here.
constexpr double used_part = 0.75;

} // namespace

retry_window::retry_window(const retry_window_limits& limits)
    : m_limits(limits)
{
}

void retry_window::set_routers(std::int64_t routers)
{
    assert(routers >= 1);
    m_routers = routers;
}

retry_window::interval& retry_window::current(const std::string& service,
                                              ports::steady_time now)
{
    const std::int64_t number = now.time_since_epoch() / interval_length;
    const std::int64_t kept = m_limits.window / interval_length + 1;
    std::deque<interval>& intervals = m_services[service];
    while (!intervals.empty() && intervals.front().number <= number - kept)
    {
        intervals.pop_front();
    }
    if (intervals.empty() || intervals.back().number != number)
    {
        intervals.push_back({number, 0, 0});
    }
    return intervals.back();
}

void retry_window::note_request(const std::string& service,
                                ports::steady_time now)
{
    ++current(service, now).requests;
}

bool retry_window::take(const std::string& service, ports::steady_time now)
{
    interval& newest = current(service, now);
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
    for (const interval& one : m_services[service])
    {
        requests += one.requests;
        repeats += one.repeats;
    }
    const double allowed =
        used_part * (m_limits.ratio * static_cast<double>(requests) +
                     m_limits.slack / static_cast<double>(m_routers));
    if (static_cast<double>(repeats) + 1 > allowed)
    {
        return false;
    }
    ++newest.repeats;
    return true;
}

} // namespace turmeric::domain
