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
    double significance_level = 0.001;
    /// The test is started anew up to this many times within a move, so that
    /// a long good record does not hide a version that turns bad.
    std::size_t planned_windows = 2048;
    /// By how much a rate may exceed the old version's, for each property.
    std::array<double, judged_property_count> margins{0.01, 0.03, 0.03};
    /// The bound on the old version's rate over the whole move holds with
    /// this probability,
    double baseline_confidence = 0.99;
    /// and the one on its rate within a window with this one.
    double window_confidence = 0.95;
    /// For a window, the rate over the whole move weighs as much as this many
    /// requests of the old version within the window.
    double prior_requests = 4;
};

} // namespace turmeric::domain
