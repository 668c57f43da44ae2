#pragma once

#include <chrono>

namespace turmeric::ports
{

using steady_time = std::chrono::steady_clock::time_point;
using system_time = std::chrono::system_clock::time_point;

/// Reads the time. Implementations are thread safe.
class clock
{
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// Returns the monotonic time, for measuring durations. Thread safe.
    [[nodiscard]] virtual steady_time steady_now() const = 0;

    /// Returns the system time. It may jump when the system clock is
    /// adjusted. Thread safe.
    [[nodiscard]] virtual system_time system_now() const = 0;
};

} // namespace turmeric::ports
