#pragma once

#include "bench/moves/move_scenario.hpp"
#include "libraries/domain/move/request_observation.hpp"

#include <random>
#include <vector>

namespace turmeric::bench
{

/// Draws the outcomes of requests to the two versions of a scenario. Not
/// thread safe.
class version_model
{
public:
    /// Makes a model. Precondition: `scenario` outlives it.
    explicit version_model(const move_scenario& scenario);

    /// Tells whether the new version is bad now, `at_s` seconds after the
    /// start, with `share` of the traffic (0 to 1); `soak_s` is how long it
    /// has soaked, negative before.
    [[nodiscard]] bool is_bad(double at_s, double fraction,
                              double soak_s) const;

    /// Draws one outcome. Not thread safe.
    domain::request_observation draw(bool is_new, bool is_bad, double at_s,
                                     std::mt19937_64& random) const;

private:
    [[nodiscard]] std::chrono::microseconds
    latency(double median_us, std::mt19937_64& random) const;

    const move_scenario& m_scenario;
    /// Quantiles of the lognormal distribution, for speed.
    std::vector<double> m_latency_factors;
};

} // namespace turmeric::bench
