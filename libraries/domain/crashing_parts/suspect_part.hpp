#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace turmeric::domain
{

/// The end of one incarnation of an upstream while it began its response to a
/// prompt with a certain part.
struct observed_end
{
    /// The digest of the upstream's id and start time.
    std::uint64_t incarnation = 0;
    ports::steady_time at;
};

/// A prompt part under which upstreams have ended, as one router knows it and
/// reports it to its peers.
struct suspect_part
{
    /// The part's id.
    std::uint64_t id = 0;
    /// In the order of their times, at least `min_end_distance` apart.
    std::vector<observed_end> ends;
    /// When an upstream began a response that did not end it, for a request
    /// with this part. Earlier ends do not count.
    std::optional<ports::steady_time> cleared_at;
    /// The last request or end with this part that the fleet knows of.
    ports::steady_time last_seen;
    /// Trial requests since the part was blocked.
    std::int32_t trials = 0;
};

} // namespace turmeric::domain
