#pragma once

#include "libraries/domain/move/proportion.hpp"

namespace turmeric::domain
{

/// The always-valid test of one proportion: a mixture sequential probability
/// ratio test of "the rate is at most `null_rate`" against a uniform mixture
/// of the higher rates. While the true rate is at most `null_rate`, the ratio
/// is a nonnegative supermartingale that starts at 1, so the chance that it
/// ever reaches 1/a is at most a, however often it is looked at (Ville's
/// inequality). It depends on the sums alone, so counts of many routers can be
/// added in any order.
struct sequential_test
{
    /// Returns the logarithm of the ratio; 0 or less argues for nothing.
    /// Where the observed rate is not above `null_rate` a bound of 0 is
    /// returned. Precondition: `null_rate` is above 0 and below 1. Thread
    /// safe.
    [[nodiscard]] static double log_ratio(const proportion& observed,
                                          double null_rate);

    /// Returns the rate that the true one exceeds with probability
    /// `1 - confidence` given `observed`, by the Jeffreys interval.
    /// Precondition: `confidence` is above 0 and below 1. Thread safe.
    [[nodiscard]] static double rate_bound(const proportion& observed,
                                           double confidence);

    /// The same with a prior of mean `prior_rate` that weighs as much as
    /// `prior_trials` trials, but no less than half a hit. Precondition: both
    /// are above 0, the rate is below 1. Thread safe.
    [[nodiscard]] static double rate_bound(const proportion& observed,
                                           double confidence, double prior_rate,
                                           double prior_trials);
};

} // namespace turmeric::domain
