#pragma once

#include "bench/moves/move_scenario.hpp"
#include "libraries/domain/move/request_observation.hpp"

#include <random>
#include <vector>

namespace turmeric::bench
{

/// Draws random outcomes of requests to the two versions of a scenario. Not
/// thread safe.
class version_model
{
public:
    /// Makes a model. Precondition: `scenario` outlives it.
    explicit version_model(const move_scenario& scenario);

    /// Returns whether the new version is bad `at_s` seconds after the start,
    /// with `fraction` of the traffic (0 to 1). `soak_s` is the time since the
    /// soak began, or negative before it.
    [[nodiscard]] bool is_bad(double at_s, double fraction,
                              double soak_s) const;

    /// Draws one random outcome. Not thread safe.
    domain::request_observation draw(bool is_new, bool is_bad, double at_s,
                                     std::mt19937_64& random) const;

private:
    [[nodiscard]] std::chrono::microseconds
    latency(double median_us, std::mt19937_64& random) const;

    const move_scenario& m_scenario;
    /// Quantiles of the lognormal distribution, computed once because a draw
    /// from this table is faster than from the distribution.
    std::vector<double> m_latency_factors;
};

} // namespace turmeric::bench
