#include "libraries/domain/capacity/overload_monitor.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

/// The overload begins at this part of the capacity. The rest of the link is
/// for what is not measured: peers, the store and the headers of packets.
constexpr double overload_begin = 0.75;
/// Requests are refused above this part.
constexpr double refusal_begin = 0.85;
/// Some requests are always accepted: their bodies have passed the link by
/// then, and callers that stay here must be served.
constexpr double max_refused_part = 0.75;
/// The overload ends below this part.
constexpr double overload_end = 0.5;
/// How long the load must have been low.
constexpr std::chrono::milliseconds relief_time{1'500};
/// An event loop that is so late has no time left.
constexpr std::chrono::milliseconds max_loop_delay{300};
/// A recorded delay counts for this time.
constexpr std::chrono::milliseconds loop_delay_retention{1'500};

} // namespace

overload_monitor::overload_monitor(double link_mbps)
    : m_meter(link_mbps)
{
}

link_meter& overload_monitor::meter()
{
    return m_meter;
}

void overload_monitor::record_loop_delay(std::chrono::nanoseconds delay,
                                         ports::steady_time now)
{
    m_previous_loop_delay = m_loop_delay;
    m_loop_delay = delay;
    m_loop_delay_at = now;
}

double overload_monitor::load(ports::steady_time now) const
{
    const double link = m_meter.use(now).busier();
    if (now - m_loop_delay_at > loop_delay_retention)
    {
        return link;
    }
    // One late update is no lasting overload.
    const std::chrono::duration<double> delay =
        std::min(m_loop_delay, m_previous_loop_delay);
    const std::chrono::duration<double> max_delay = max_loop_delay;
    return std::max(link, delay / max_delay);
}

bool overload_monitor::update(ports::steady_time now)
{
    const double present = load(now);
    if (!m_is_overloaded)
    {
        m_is_overloaded = present >= overload_begin;
        m_relieved_since.reset();
        return m_is_overloaded;
    }
    if (present >= overload_end)
    {
        m_relieved_since.reset();
        return false;
    }
    m_relieved_since = m_relieved_since.value_or(now);
    m_is_overloaded = now - *m_relieved_since < relief_time;
    return !m_is_overloaded;
}

double overload_monitor::refused_part(ports::steady_time now) const
{
    const double part = (load(now) - refusal_begin) / (1 - refusal_begin);
    return std::clamp(part, 0.0, max_refused_part);
}

bool overload_monitor::is_overloaded() const
{
    return m_is_overloaded;
}

link_use overload_monitor::use(ports::steady_time now) const
{
    return m_meter.use(now);
}

std::chrono::nanoseconds overload_monitor::loop_delay() const
{
    return m_loop_delay;
}

} // namespace turmeric::domain
