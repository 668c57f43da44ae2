#pragma once

#include "libraries/domain/move/judge_settings.hpp"

#include <chrono>

namespace turmeric::domain
{

/// How a router guards a version that is not yet trusted.
struct guard_settings
{
    /// The level is for one router; a fleet's chance of a false cut is at
    /// most this times its routers.
    judge_settings judge{.significance_level = 1e-6};
    /// Past this without a word from a controller the share does not rise.
    std::chrono::seconds stale_after{10};
    /// Past this it falls to the capped share.
    std::chrono::seconds capped_after{60};
    /// How often the test is started anew, unless the move takes so long that
    /// the marks would not last.
    std::chrono::seconds window_interval{5};
};

} // namespace turmeric::domain
