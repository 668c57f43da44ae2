#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace turmeric::bench
{

/// Whether a new version is bad, and when it becomes bad.
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

/// The rate of traffic and the durations of a move.
struct traffic_profile
{
    std::string_view name;
    /// Requests per second on one route, of all routers together.
    double route_rate = 0;
    std::size_t routers = 0;
    std::chrono::seconds window{0};
    std::chrono::seconds soak{0};
};

/// A period in which both versions fail more often or respond more slowly.
struct shared_disturbance
{
    double begin_s = 0;
    double end_s = 0;
    double extra_failures = 0;
    double latency_factor = 1;
};

/// The failure rate and the latency factors of a version while it is bad.
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
    /// When a bad_later version becomes bad, in seconds after the start.
    double turns_bad_at_s = 0;
    /// Fraction of the traffic above which a bad_under_load version is bad.
    double max_tolerated_fraction = 1;
    /// Latency of the new version relative to the old one, without a defect.
    double new_version_latency_factor = 1;
    /// Phase of the slow periodic drift of latency, in radians.
    double drift_phase = 0;
    std::array<shared_disturbance, 4> disturbances;
    /// Period without a leading controller, in seconds after the start; empty
    /// if both are 0.
    double leaderless_begin_s = 0;
    double leaderless_end_s = 0;
};

/// Draws a random move of the given kind. Calls with the same `random` must
/// not run at the same time.
move_scenario draw_scenario(version_kind kind, const traffic_profile& profile,
                            std::mt19937_64& random);

} // namespace turmeric::bench
