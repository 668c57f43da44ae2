#pragma once

#include "libraries/domain/move/latency_limits.hpp"
#include "libraries/domain/move/latency_sketch.hpp"
#include "libraries/domain/move/request_observation.hpp"
#include "libraries/domain/move/version_tally.hpp"

#include <cstdint>

namespace turmeric::domain
{

/// All that is known of a version on one route: bounded, and mergeable over
/// routers. Not thread safe; a value type.
struct version_evidence
{
    std::int64_t requests = 0;
    std::int64_t failures = 0;
    latency_sketch first_token;
    latency_sketch worst_gap;

    /// Counts one request.
    void record(const request_observation& observation);

    /// Adds other, disjoint evidence.
    void merge(const version_evidence& other);

    /// Reduces the evidence by the limits past which a request is slow.
    [[nodiscard]] version_tally tally(const latency_limits& limits) const;

    bool operator==(const version_evidence&) const = default;
};

/// Returns both versions' records side by side. The new version's requests
/// are slow only past `tolerated_slowdown` times the limits, so that one which
/// is a little slower stays below the old one's rate at any load. Thread safe.
[[nodiscard]] tally_pair tally_of(const version_evidence& from,
                                  const version_evidence& to,
                                  const latency_limits& limits);

/// A new version may be slower by this factor.
inline constexpr double tolerated_slowdown = 1.25;

} // namespace turmeric::domain
