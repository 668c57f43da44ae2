#pragma once

#include "libraries/ports/clock.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace turmeric::standins
{

/// A value that readers see with a fixed delay. Not thread safe.
template <class Value>
class delayed_value
{
public:
    /// A change becomes visible `lag` after it was recorded. `first` is
    /// visible until then.
    explicit delayed_value(std::chrono::milliseconds lag, Value first = Value())
        : m_lag(lag)
        , m_visible(std::move(first))
    {
    }

    /// Records the value at `now`. Precondition: `now` is not earlier than in
    /// the previous call.
    void record(Value value, ports::steady_time now)
    {
        const Value& last = m_pending_changes.empty()
                                ? m_visible
                                : m_pending_changes.back().second;
        if (last != value)
        {
            m_pending_changes.emplace_back(now, std::move(value));
        }
        // Drops changes that are already visible, so that the queue stays
        // short when no caller reads the value.
        at(now);
    }

    /// Returns the value as it was at `now` minus the lag.
    const Value& at(ports::steady_time now)
    {
        while (!m_pending_changes.empty() &&
               m_pending_changes.front().first + m_lag <= now)
        {
            m_visible = std::move(m_pending_changes.front().second);
            m_pending_changes.pop_front();
        }
        return m_visible;
    }

private:
    std::chrono::milliseconds m_lag;
    Value m_visible;
    std::deque<std::pair<ports::steady_time, Value>> m_pending_changes;
};

} // namespace turmeric::standins
