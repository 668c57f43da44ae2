#pragma once

#include "libraries/ports/clock.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace turmeric::standins
{

/// Shows a value as it was some time ago. Not thread safe.
template <class Value>
class lagged
{
public:
    /// Changes are shown `lag` late.
    explicit lagged(std::chrono::milliseconds lag, Value first = Value())
        : m_lag(lag)
        , m_shown(std::move(first))
    {
    }

    /// Records the value at `now`. Precondition: `now` does not go back.
    void record(Value value, ports::steady_time now)
    {
        const Value& last = m_later.empty() ? m_shown : m_later.back().second;
        if (last != value)
        {
            m_later.emplace_back(now, std::move(value));
        }
        // Bounds the history while nobody asks for it.
        at(now);
    }

    /// Returns the value as it was at `now` less the lag.
    const Value& at(ports::steady_time now)
    {
        while (!m_later.empty() && m_later.front().first + m_lag <= now)
        {
            m_shown = std::move(m_later.front().second);
            m_later.pop_front();
        }
        return m_shown;
    }

private:
    std::chrono::milliseconds m_lag;
    Value m_shown;
    std::deque<std::pair<ports::steady_time, Value>> m_later;
};

} // namespace turmeric::standins
