#include "libraries/domain/capacity/link_meter.hpp"

#include <algorithm>
#include <chrono>

namespace turmeric::domain
{

namespace
{

constexpr std::chrono::milliseconds interval_length{100};
constexpr double bits_per_megabit = 1e6;
constexpr double bits_per_byte = 8;

} // namespace

double link_use::busier() const
{
    return std::max(received, sent);
}

link_meter::link_meter(double link_mbps)
    : m_capacity(link_mbps * bits_per_megabit / bits_per_byte)
{
}

std::int64_t link_meter::interval_at(ports::steady_time now)
{
    return now.time_since_epoch() / interval_length;
}

link_meter::interval_bytes& link_meter::current(ports::steady_time now)
{
    const std::int64_t interval = interval_at(now);
    interval_bytes& slot =
        m_intervals[static_cast<std::size_t>(interval) % m_intervals.size()];
    if (slot.interval != interval)
    {
        slot = {interval, 0, 0};
    }
    return slot;
}

void link_meter::record_received(std::size_t bytes, ports::steady_time now)
{
    current(now).received += static_cast<std::int64_t>(bytes);
}

void link_meter::record_sent(std::size_t bytes, ports::steady_time now)
{
    current(now).sent += static_cast<std::int64_t>(bytes);
}

link_use link_meter::use(ports::steady_time now) const
{
    if (m_capacity <= 0)
    {
        return {};
    }
    const std::int64_t present = interval_at(now);
    const std::int64_t first =
        present - static_cast<std::int64_t>(measured_intervals);
    std::int64_t received = 0;
    std::int64_t sent = 0;
    for (const interval_bytes& one : m_intervals)
    {
        if (one.interval >= first && one.interval < present)
        {
            received += one.received;
            sent += one.sent;
        }
    }
    const std::chrono::duration<double> measured =
        interval_length * measured_intervals;
    const double carried = m_capacity * measured.count();
    return {static_cast<double>(received) / carried,
            static_cast<double>(sent) / carried};
}

} // namespace turmeric::domain
