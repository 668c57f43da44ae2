#pragma once

#include <array>
#include <cstddef>

#include "libraries/domain/move/version_tally.hpp"

namespace turmeric::domain
{

/// How a version is judged.
struct judge_settings
{
    /// Bound on the chance that a version which is no worse than the old one
    /// by more than the margins is ever found bad.
    double level = 0.001;
    /// The test is started anew this many times within a move, so that a
    /// long good record does not hide a version that turns bad.
    std::size_t windows = 64;
    /// By how much a rate may exceed the old version's, for each property.
    std::array<double, judged_property_count> margins{0.01, 0.05, 0.05};
    /// The bounds on the old version's rates hold with this probability.
    double baseline_confidence = 0.99;
};

} // namespace turmeric::domain
