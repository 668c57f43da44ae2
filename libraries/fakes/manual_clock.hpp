#pragma once

#include "libraries/ports/clock.hpp"

namespace turmeric::fakes
{

/// A clock that moves only when told to. Not thread safe.
class manual_clock final : public ports::clock
{
public:
    /// Returns the time set so far. Not thread safe.
    [[nodiscard]] ports::steady_time steady_now() const override;

    /// Returns the time of day set so far. Not thread safe.
    [[nodiscard]] ports::system_time system_now() const override;

    /// Moves both times on. Precondition: `step` is not negative. Not thread
    /// safe.
    void advance(std::chrono::nanoseconds step);

    /// Moves the time of day alone, as a clock correction does. Not thread
    /// safe.
    void adjust_system_time(std::chrono::nanoseconds step);

private:
    ports::steady_time m_steady{std::chrono::hours(1)};
    ports::system_time m_system{std::chrono::hours(24 * 365 * 56)};
};

} // namespace turmeric::fakes
