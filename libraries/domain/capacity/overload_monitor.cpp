#include "libraries/domain/capacity/overload_monitor.hpp"

namespace turmeric::domain
{

namespace
{

/// The overload begins at this part of the link's capacity. The rest is for
/// what is not measured: peers, the store and the headers of packets.
constexpr double overload_link_part = 0.75;
/// It ends below this part.
constexpr double relief_link_part = 0.5;
constexpr std::chrono::milliseconds overload_loop_delay{200};
constexpr std::chrono::milliseconds relief_loop_delay{50};
/// How long the load must have been low.
constexpr std::chrono::milliseconds relief_time{1'500};
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
    m_loop_delay = delay;
    m_loop_delay_at = now;
}

bool overload_monitor::is_above(double link_part,
                                std::chrono::nanoseconds delay,
                                ports::steady_time now) const
{
    const bool is_late =
        m_loop_delay >= delay && now - m_loop_delay_at <= loop_delay_retention;
    return is_late || m_meter.use(now).busier() >= link_part;
}

bool overload_monitor::update(ports::steady_time now)
{
    if (!m_is_overloaded)
    {
        m_is_overloaded =
            is_above(overload_link_part, overload_loop_delay, now);
        m_relieved_since.reset();
        return m_is_overloaded;
    }
    if (is_above(relief_link_part, relief_loop_delay, now))
    {
        m_relieved_since.reset();
        return false;
    }
    m_relieved_since = m_relieved_since.value_or(now);
    m_is_overloaded = now - *m_relieved_since < relief_time;
    return !m_is_overloaded;
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
