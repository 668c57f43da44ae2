#pragma once

#include "libraries/ports/clock.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace turmeric::standins
{

/// Shows a value as it was some time ago. Not thread safe.
template <class Value>
class delayed_value
{
public:
    /// Changes are shown `lag` late.
    explicit delayed_value(std::chrono::milliseconds lag, Value first = Value())
        : m_lag(lag)
        , m_visible(std::move(first))
    {
    }

    /// Records the value at `now`. Precondition: `now` does not go back.
    void record(Value value, ports::steady_time now)
    {
        const Value& last = m_pending_changes.empty()
                                ? m_visible
                                : m_pending_changes.back().second;
        if (last != value)
        {
            m_pending_changes.emplace_back(now, std::move(value));
        }
        // Bounds the history while nobody asks for it.
        at(now);
    }

    /// Returns the value as it was at `now` less the lag.
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
