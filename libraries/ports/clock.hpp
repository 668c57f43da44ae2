#pragma once

#include <chrono>

namespace turmeric::ports
{

using steady_time = std::chrono::steady_clock::time_point;
using system_time = std::chrono::system_clock::time_point;

/// Tells the time. Implementations are thread safe.
class clock
{
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// Returns the time for measuring durations. Thread safe.
    [[nodiscard]] virtual steady_time steady_now() const = 0;

    /// Returns the time of day, which may jump. Thread safe.
    [[nodiscard]] virtual system_time system_now() const = 0;
};

} // namespace turmeric::ports
