#include "libraries/domain/move/sequential_test.hpp"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <cmath>

namespace turmeric::domain
{

namespace
{

/// Hits and misses of a prior are each at least this, as in the Jeffreys
/// prior.
constexpr double jeffreys = 0.5;

} // namespace

double sequential_test::log_ratio(const proportion& observed, double null_rate)
{
    const auto hits = static_cast<double>(observed.hits);
    const auto misses = static_cast<double>(observed.trials - observed.hits);
    if (hits <= null_rate * (hits + misses))
    {
        return 0;
    }
    const double a = hits + 1;
    const double b = misses + 1;
    const double log_beta =
        std::lgamma(a) + std::lgamma(b) - std::lgamma(a + b);
    const double mixture =
        log_beta + std::log(boost::math::ibetac(a, b, null_rate));
    const double null =
        hits * std::log(null_rate) + misses * std::log1p(-null_rate);
    return std::max(0.0, mixture - std::log1p(-null_rate) - null);
}

double sequential_test::rate_bound(const proportion& observed,
                                   double confidence)
{
    const double a = static_cast<double>(observed.hits) + jeffreys;
    const double b =
        static_cast<double>(observed.trials - observed.hits) + jeffreys;
    return boost::math::ibeta_inv(a, b, confidence);
}

double sequential_test::rate_bound(const proportion& observed,
                                   double confidence, double prior_rate,
                                   double prior_trials)
{
    const double prior_hits = std::max(jeffreys, prior_rate * prior_trials);
    const double prior_misses = std::max(jeffreys, prior_trials - prior_hits);
    const double a = static_cast<double>(observed.hits) + prior_hits;
    const double b =
        static_cast<double>(observed.trials - observed.hits) + prior_misses;
    return boost::math::ibeta_inv(a, b, confidence);
}

} // namespace turmeric::domain
