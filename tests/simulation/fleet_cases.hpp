#pragma once

#include "tests/simulation/traffic_fleet.hpp"

#include <chrono>

namespace turmeric::tests
{

/// A fleet, and how long its routers must be in touch to be bound by rules.
struct fleet_case
{
    traffic_fleet_size size;
    std::chrono::milliseconds contact_time;
};

constexpr fleet_case small_fleet{{6, 9, 50}, std::chrono::milliseconds(3'000)};
// The sanitizer builds run many times slower, so they play a smaller fleet.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr fleet_case grown_fleet{{20, 24, 150},
                                 std::chrono::milliseconds(4'000)};
#else
constexpr fleet_case grown_fleet{{87, 89, 600},
                                 std::chrono::milliseconds(4'000)};
#endif

} // namespace turmeric::tests
