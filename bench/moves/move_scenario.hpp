#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace turmeric::bench
{

/// What is wrong with a new version, and when.
enum class version_kind : std::uint8_t
{
    good,
    bad_at_once,
    bad_later,
    bad_in_soak,
    bad_under_load,
};

inline constexpr std::array<std::string_view, 5> version_kind_names = {
    "good", "bad_at_once", "bad_later", "bad_in_soak", "bad_under_load"};

/// Returns the name used in results. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(version_kind kind)
{
    return version_kind_names[static_cast<std::size_t>(kind)];
}

/// How much traffic there is and how long a move may take.
struct traffic_profile
{
    std::string_view name;
    /// Requests a second on one route, over the fleet.
    double route_rate = 0;
    std::size_t routers = 0;
    std::chrono::seconds window{0};
    std::chrono::seconds soak{0};
};

/// A span in which both versions suffer alike.
struct shared_disturbance
{
    double begin_s = 0;
    double end_s = 0;
    double extra_failures = 0;
    double latency_factor = 1;
};

/// How a version behaves while it is bad.
struct version_defect
{
    double failure_rate = 0;
    double first_token_factor = 1;
    double token_gap_factor = 1;
};

/// One move on one route.
struct move_scenario
{
    version_kind kind = version_kind::good;
    version_defect defect;
    /// Of a bad_later version, seconds after the start.
    double turns_bad_at_s = 0;
    /// Of a bad_under_load version, the share of traffic that it stands.
    double max_tolerated_fraction = 1;
    /// A good version's latencies, as a factor on the old one's.
    double new_version_latency_factor = 1;
    /// Phase of the slow change of load over the day.
    double drift_phase = 0;
    std::array<shared_disturbance, 4> disturbances;
    /// Between these no controller leads, in seconds after the start.
    double leaderless_begin_s = 0;
    double leaderless_end_s = 0;
};

/// Draws a move of the given kind. Not thread safe for one generator.
move_scenario draw_scenario(version_kind kind, const traffic_profile& profile,
                            std::mt19937_64& random);

} // namespace turmeric::bench
