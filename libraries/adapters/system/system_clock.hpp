#pragma once

#include "libraries/ports/clock.hpp"

namespace turmeric::adapters
{

/// Reads the clocks of the operating system. Thread safe.
class system_clock final : public ports::clock
{
public:
    /// Returns the monotonic time. Thread safe.
    [[nodiscard]] ports::steady_time steady_now() const override;

    /// Returns the time of day. Thread safe.
    [[nodiscard]] ports::system_time system_now() const override;
};

} // namespace turmeric::adapters
