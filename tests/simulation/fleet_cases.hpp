#pragma once

#include "tests/simulation/traffic_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

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

/// Returns how many requests that crash upstreams reached one later than
/// `contact_time` after the crash with the number `tolerated_crashes`.
inline std::int64_t count_late_arrivals(traffic_fleet& fleet,
                                        std::size_t tolerated_crashes,
                                        std::chrono::milliseconds contact_time)
{
    const std::vector<ports::steady_time>& crashes = fleet.upstreams().crashes;
    if (crashes.size() < tolerated_crashes)
    {
        return 0;
    }
    const ports::steady_time bound =
        crashes[tolerated_crashes - 1] + contact_time;
    const std::vector<upstream_arrival>& arrivals = fleet.upstreams().arrivals;
    return std::count_if(arrivals.begin(), arrivals.end(),
                         [&](const upstream_arrival& one)
                         { return one.is_crashing && one.at > bound; });
}

} // namespace turmeric::tests
