#pragma once

#include "libraries/domain/move/proportion.hpp"

namespace turmeric::domain
{

/// An always-valid test of one proportion: a mixture sequential probability
/// ratio test of "the rate is at most `null_rate`" against a uniform mixture
/// of the higher rates. While the true rate is at most `null_rate`, the ratio
/// is a nonnegative supermartingale that starts at 1. Therefore the probability
/// that it ever reaches 1/a is at most a, however often it is evaluated
/// (Ville's inequality). The ratio depends only on the sums, so the counts of
/// many routers can be added in any order.
struct sequential_test
{
    /// Returns the natural logarithm of the likelihood ratio, but at least 0; 0
    /// is no evidence that the rate is above `null_rate`. Where the observed
    /// rate is not above `null_rate`, returns the bound 0 instead of the
    /// logarithm. Precondition: `null_rate` is above 0 and below 1. Thread
    /// safe.
    [[nodiscard]] static double log_ratio(const proportion& observed,
                                          double null_rate);

    /// Returns an upper bound on the true rate, which holds with probability
    /// `confidence` given `observed`, by the Jeffreys interval. Precondition:
    /// `confidence` is above 0 and below 1. Thread safe.
    [[nodiscard]] static double rate_bound(const proportion& observed,
                                           double confidence);

    /// As above, with a prior of mean `prior_rate` that weighs as much as
    /// `prior_trials` trials, but at least half a hit and half a miss.
    /// Precondition: both are above 0, and the rate is below 1. Thread safe.
    [[nodiscard]] static double rate_bound(const proportion& observed,
                                           double confidence, double prior_rate,
                                           double prior_trials);
};

} // namespace turmeric::domain
