#pragma once

#include "tests/simulation/traffic_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
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

/// Returns how many repeats of one request, or of the requests with one prompt
/// part, reached upstreams later than `contact_time` after its crash with the
/// number `tolerated_crashes`. Of several such requests, the worst one counts.
inline std::int64_t count_late_arrivals(traffic_fleet& fleet,
                                        std::size_t tolerated_crashes,
                                        std::chrono::milliseconds contact_time)
{
    std::map<std::string, std::vector<ports::steady_time>> crashes;
    for (const upstream_crash& crash : fleet.upstreams().crashes)
    {
        crashes[crash.request_line].push_back(crash.at);
    }
    std::map<std::string, std::int64_t> late;
    for (const upstream_arrival& arrival : fleet.upstreams().arrivals)
    {
        const std::vector<ports::steady_time>& ends =
            crashes[arrival.request_line];
        if (arrival.is_crashing && ends.size() >= tolerated_crashes &&
            arrival.at > ends[tolerated_crashes - 1] + contact_time)
        {
            ++late[arrival.request_line];
        }
    }
    std::int64_t most = 0;
    for (const auto& [request_line, count] : late)
    {
        most = std::max(most, count);
    }
    return most;
}

} // namespace turmeric::tests
