#pragma once

#include "libraries/domain/move/latency_limits.hpp"
#include "libraries/domain/move/latency_sketch.hpp"
#include "libraries/domain/move/request_observation.hpp"
#include "libraries/domain/move/version_tally.hpp"

#include <cstdint>

namespace turmeric::domain
{

/// The counts and latencies of a version's requests on one route. The size is
/// bounded, and the evidence of several routers can be merged. Not thread safe;
/// a value type.
struct version_evidence
{
    std::int64_t requests = 0;
    std::int64_t failures = 0;
    latency_sketch first_token;
    latency_sketch worst_gap;

    /// Counts one request.
    void record(const request_observation& observation);

    /// Adds other evidence. Precondition: no request was counted in both.
    void merge(const version_evidence& other);

    /// Returns how many requests failed and how many were slower than `limits`.
    [[nodiscard]] version_tally tally(const latency_limits& limits) const;

    bool operator==(const version_evidence&) const = default;
};

/// Returns the tallies of both versions. A request of the new version is slow
/// only above `tolerated_slowdown` times the limits, so that the slow rate of a
/// slightly slower version stays below the old version's at any load. Thread
/// safe.
[[nodiscard]] tally_pair tally_of(const version_evidence& from,
                                  const version_evidence& to,
                                  const latency_limits& limits);

/// The factor by which a new version may be slower than the old one.
inline constexpr double tolerated_slowdown = 1.25;

} // namespace turmeric::domain
