#pragma once

#include "libraries/ports/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace turmeric::domain
{

/// Which part of a network link's capacity is used, by direction; 1 is all of
/// it.
struct link_use
{
    double received = 0;
    double sent = 0;

    /// Returns the part that is used in the busier direction.
    [[nodiscard]] double busier() const;
};

/// Measures how much of its VM's network link the callers' traffic of a router
/// uses, over the last half second. Not thread safe.
class link_meter
{
public:
    /// `link_mbps` is the capacity in megabits per second and direction; if it
    /// is 0, the capacity is not known, and no use is reported.
    explicit link_meter(double link_mbps);

    /// Records bytes that were read from connections.
    void record_received(std::size_t bytes, ports::steady_time now);

    /// Records bytes that were written to connections.
    void record_sent(std::size_t bytes, ports::steady_time now);

    /// Returns the use of the link in the half second before the present
    /// interval of 100 ms.
    [[nodiscard]] link_use use(ports::steady_time now) const;

private:
    /// What passed the link in one interval.
    struct interval_bytes
    {
        std::int64_t interval = -1;
        std::int64_t received = 0;
        std::int64_t sent = 0;
    };

    static constexpr std::size_t measured_intervals = 5;

    [[nodiscard]] static std::int64_t interval_at(ports::steady_time now);
    [[nodiscard]] interval_bytes& current(ports::steady_time now);

    /// Bytes per second; 0 if it is not known.
    double m_capacity;
    /// Those that are measured and the present one.
    std::array<interval_bytes, measured_intervals + 1> m_intervals;
};

} // namespace turmeric::domain
