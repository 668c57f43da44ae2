#pragma once

#include "libraries/ports/clock.hpp"

#include <functional>
#include <memory>

namespace turmeric::ports
{

/// A scheduled timer. Its destruction cancels the timer.
class timer
{
public:
    timer() = default;
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    virtual ~timer() = default;
};

/// Runs actions at given times on one thread. Used on that thread only.
class timer_queue
{
public:
    timer_queue() = default;
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;
    virtual ~timer_queue() = default;

    /// Calls `action` at `at` or shortly after, unless the returned timer is
    /// destroyed before.
    [[nodiscard]] virtual std::unique_ptr<timer>
    schedule(steady_time at, std::function<void()> action) = 0;
};

} // namespace turmeric::ports
