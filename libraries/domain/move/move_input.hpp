#pragma once

#include "libraries/domain/move/version_evidence.hpp"
#include "libraries/domain/move/version_judge.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::domain
{

/// What a controller knows when it steps a move.
struct move_input
{
    std::chrono::system_clock::time_point now;
    /// Of the leadership that this controller holds now.
    std::int64_t fencing = 0;
    /// Nearly all live routers answered within the last seconds.
    bool has_fresh_evidence = false;
    /// Enough upstreams have loaded the new version.
    bool are_upstreams_ready = false;
    version_verdict verdict;
    /// A router cut the version on its own evidence; why, else empty.
    std::string cut_reason;
    /// The old version's evidence over the fleet.
    version_evidence from_evidence;
};

} // namespace turmeric::domain
