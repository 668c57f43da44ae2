#pragma once

#include "libraries/domain/capacity/link_meter.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <optional>

namespace turmeric::domain
{

/// Finds out whether a router is offered more than its own VM carries: its
/// network link is nearly full, or its event loop runs late. Then requests wait
/// where no deadline counts, before they are read, and responses after they are
/// written. Not thread safe.
class overload_monitor
{
public:
    /// `link_mbps` as for `link_meter`.
    explicit overload_monitor(double link_mbps);

    /// Returns the meter of the link, for what reads and writes connections.
    [[nodiscard]] link_meter& meter();

    /// Records how much later than it was due the event loop has run something.
    void record_loop_delay(std::chrono::nanoseconds delay,
                           ports::steady_time now);

    /// Decides anew. Returns whether the state has changed.
    bool update(ports::steady_time now);

    /// Returns whether the router was overloaded at the last `update`.
    [[nodiscard]] bool is_overloaded() const;

    /// Returns which part of new requests is to be refused, so that those that
    /// are accepted find room: 0 while there is room, three quarters at most.
    [[nodiscard]] double refused_part(ports::steady_time now) const;

    /// Returns the use of the link.
    [[nodiscard]] link_use use(ports::steady_time now) const;

    /// Returns the last recorded delay of the event loop.
    [[nodiscard]] std::chrono::nanoseconds loop_delay() const;

private:
    /// Returns which part is used of what there is least of; 1 is all of it.
    [[nodiscard]] double load(ports::steady_time now) const;

    link_meter m_meter;
    std::chrono::nanoseconds m_loop_delay{};
    std::chrono::nanoseconds m_previous_loop_delay{};
    ports::steady_time m_loop_delay_at{};
    bool m_is_overloaded = false;
    /// Since when the load has been low enough for the overload to end.
    std::optional<ports::steady_time> m_relieved_since;
};

} // namespace turmeric::domain
