#pragma once

#include "libraries/domain/move/judge_settings.hpp"

#include <chrono>

namespace turmeric::domain
{

/// How a router limits and judges the new version of a move by itself.
struct guard_settings
{
    /// The significance level is for one router. The probability that any
    /// router of a fleet cuts a good version is at most this level times the
    /// number of routers.
    judge_settings judge{.significance_level = 1e-6};
    /// The share does not rise while the last contact with a controller is
    /// longer ago than this.
    std::chrono::seconds stale_after{10};
    /// The share drops to the capped share when the last contact is longer ago
    /// than this.
    std::chrono::seconds capped_after{60};
    /// Time between the starts of two test windows. It is extended for a long
    /// move so that the planned windows last until its deadline.
    std::chrono::seconds window_interval{5};
};

} // namespace turmeric::domain
