#include "bench/moves/move_scenario.hpp"

#include <cmath>
#include <numbers>

namespace turmeric::bench
{

namespace
{

double uniform(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

version_defect draw_defect(std::mt19937_64& random)
{
    constexpr double min_failure_rate = 0.1;
    constexpr double min_factor = 2;
    constexpr double max_factor = 6;
    version_defect defect;
    const double kind = uniform(random, 0, 1);
    if (kind < 0.5)
    {
        defect.failure_rate = uniform(random, min_failure_rate, 1);
    }
    else if (kind < 0.75)
    {
        defect.first_token_factor = uniform(random, min_factor, max_factor);
    }
    else
    {
        defect.token_gap_factor = uniform(random, min_factor, max_factor);
    }
    return defect;
}

/// Disturbances of both versions start every 30 minutes on average and last 30
/// to 90 s.
std::array<shared_disturbance, 4> draw_disturbances(double window_s,
                                                    std::mt19937_64& random)
{
    constexpr double mean_interval_s = 1800;
    std::array<shared_disturbance, 4> disturbances;
    double begin = 0;
    for (shared_disturbance& disturbance : disturbances)
    {
        begin +=
            std::exponential_distribution<double>(1 / mean_interval_s)(random);
        if (begin >= window_s)
        {
            break;
        }
        disturbance.begin_s = begin;
        disturbance.end_s = begin + uniform(random, 30, 90);
        if (uniform(random, 0, 1) < 0.5)
        {
            disturbance.extra_failures = 0.05;
        }
        else
        {
            disturbance.latency_factor = 1.5;
        }
        begin = disturbance.end_s;
    }
    return disturbances;
}

} // namespace

move_scenario draw_scenario(version_kind kind, const traffic_profile& profile,
                            std::mt19937_64& random)
{
    constexpr double leaderless_chance = 0.2;
    const auto window_s = static_cast<double>(profile.window.count());
    move_scenario scenario;
    scenario.kind = kind;
    scenario.defect = draw_defect(random);
    scenario.turns_bad_at_s = uniform(random, 0.1, 0.8) * window_s;
    scenario.max_tolerated_fraction = uniform(random, 0.03, 0.8);
    scenario.new_version_latency_factor = uniform(random, 0.9, 1.1);
    scenario.drift_phase = uniform(random, 0, 2 * std::numbers::pi);
    scenario.disturbances = draw_disturbances(window_s, random);
    if (uniform(random, 0, 1) < leaderless_chance)
    {
        scenario.leaderless_begin_s = uniform(random, 0, window_s);
        scenario.leaderless_end_s =
            scenario.leaderless_begin_s + uniform(random, 10, 60);
    }
    return scenario;
}

} // namespace turmeric::bench
