#pragma once

#include "libraries/domain/move/version_evidence.hpp"
#include "libraries/domain/move/version_judge.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::domain
{

/// What a controller bases the next transition of a move on.
struct move_input
{
    std::chrono::system_clock::time_point now;
    /// The fencing number of this controller's current leadership.
    std::int64_t fencing = 0;
    /// Nearly all live routers responded within the last seconds.
    bool has_fresh_evidence = false;
    /// Enough upstreams have loaded the new version.
    bool are_upstreams_ready = false;
    version_verdict verdict;
    /// Why a router cut the version on its own evidence; empty when none did.
    std::string cut_reason;
    /// The evidence on the old version from all routers.
    version_evidence from_evidence;
};

} // namespace turmeric::domain
