#pragma once

#include "libraries/ports/clock.hpp"

#include <functional>
#include <memory>

namespace turmeric::ports
{

/// A pending timer; destroying it cancels the timer.
class timer
{
public:
    timer() = default;
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    virtual ~timer() = default;
};

/// Calls back at a time, on one thread. Used on that thread only.
class timer_queue
{
public:
    timer_queue() = default;
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;
    virtual ~timer_queue() = default;

    /// Calls `action` at `at` or soon after, unless the returned timer is
    /// destroyed first.
    [[nodiscard]] virtual std::unique_ptr<timer>
    schedule(steady_time at, std::function<void()> action) = 0;
};

} // namespace turmeric::ports
