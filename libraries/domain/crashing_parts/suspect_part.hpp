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
    /// When the last response to any prompt had begun, as the observing router
    /// knew it. If that was before another end, both may have a cause that
    /// stops all responses.
    ports::steady_time output_at;
};

/// A prompt part under which upstreams have ended, as one router knows it and
/// reports it to its peers.
struct suspect_part
{
    /// The part's id.
    std::uint64_t id = 0;
    /// In the order of their times. Each was at a time of its own: well after
    /// the one before, with a response to any prompt in between.
    std::vector<observed_end> ends;
    /// When an upstream began a response that did not end it, for a request
    /// with this part. Earlier ends do not count.
    std::optional<ports::steady_time> cleared_at;
    /// The last request or end with this part that the fleet knows of.
    ports::steady_time last_seen;
    /// Trial requests since the part was blocked.
    std::int32_t trials = 0;
};

/// Adds an end unless it is cleared, known, or not at a time of its own.
/// Returns whether it was added. Not thread safe.
bool add_end(suspect_part& suspect, const observed_end& added);

/// Drops the ends until `cleared_at`. Returns whether there were any. Not
/// thread safe.
bool clear_until(suspect_part& suspect, ports::steady_time cleared_at);

/// Returns whether requests with a part are to be refused. Thread safe.
[[nodiscard]] bool is_part_blocked(const suspect_part& suspect);

/// Returns a part that was blocked at `blocked_at` by routers that have been
/// stopped since; only one more trial is made. Thread safe.
[[nodiscard]] suspect_part make_blocked_part(std::uint64_t id,
                                             ports::steady_time blocked_at,
                                             ports::steady_time now);

} // namespace turmeric::domain
