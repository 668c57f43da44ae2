#pragma once

#include "libraries/ports/clock.hpp"

namespace turmeric::fakes
{

/// A clock that changes only when a test advances or adjusts it. Not thread
/// safe.
class manual_clock final : public ports::clock
{
public:
    /// Returns the monotonic time. Not thread safe.
    [[nodiscard]] ports::steady_time steady_now() const override;

    /// Returns the system time. Not thread safe.
    [[nodiscard]] ports::system_time system_now() const override;

    /// Advances both times by `step`. Precondition: `step` is not negative. Not
    /// thread safe.
    void advance(std::chrono::nanoseconds step);

    /// Changes the system time alone, as a clock correction does. `step` may be
    /// negative. Not thread safe.
    void adjust_system_time(std::chrono::nanoseconds step);

private:
    ports::steady_time m_steady{std::chrono::hours(1)};
    ports::system_time m_system{std::chrono::hours(24 * 365 * 56)};
};

} // namespace turmeric::fakes
