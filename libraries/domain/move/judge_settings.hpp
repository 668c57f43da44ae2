#pragma once

#include <array>
#include <cstddef>

#include "libraries/domain/move/version_tally.hpp"

namespace turmeric::domain
{

/// How the new version of a move is judged.
struct judge_settings
{
    /// Upper bound on the probability that a version is ever found bad although
    /// it is worse than the old one by no more than the margins.
    double significance_level = 0.001;
    /// How many further windows the test may start within a move. A version
    /// that turns bad after a long good record is found by a recent window,
    /// which does not include that record.
    std::size_t planned_windows = 2048;
    /// For each property, the new version's rate may exceed the old version's
    /// rate r by margin * (1 - r).
    std::array<double, judged_property_count> margins{0.01, 0.03, 0.03};
    /// Probability with which the upper bound on the old version's rate over
    /// the whole move holds.
    double baseline_confidence = 0.99;
    /// Probability with which the upper bound on the old version's rate within
    /// a window holds.
    double window_confidence = 0.95;
    /// When the old version's rate within a window is estimated, its rate over
    /// the whole move weighs as much as this many of its requests in the
    /// window.
    double prior_requests = 4;
};

} // namespace turmeric::domain
