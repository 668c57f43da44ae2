#pragma once

#include "libraries/domain/move/latency_limits.hpp"
#include "libraries/domain/move/version_evidence.hpp"
#include "libraries/domain/move/version_tally.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Asks a router for its evidence on one move.
struct evidence_question
{
    std::string route;
    std::uint64_t identity = 0;
    /// The latency limits of the move. Unset while they are not fixed: the
    /// router then sends the complete latency sketches of the old version.
    std::optional<latency_limits> limits;
    /// Set once the controller has found the new version bad: the router cuts
    /// it, which means that it sends the version no new requests. It does so at
    /// once, even while the store is unavailable.
    std::string cut_reason;
};

/// The request that the leading controller sends to each router.
struct evidence_request
{
    /// The fencing number of the controller's leadership. The request also
    /// shows the router that the controller is alive.
    std::int64_t fencing = 0;
    std::vector<evidence_question> questions;
};

/// One router's evidence on one move.
struct evidence_report
{
    std::string route;
    std::uint64_t identity = 0;
    /// The sequence number of the move state that is in force at the router.
    std::int64_t sequence = 0;
    /// Why the router cut the new version; empty when it did not.
    std::string cut_reason;
    tally_pair tally;
    /// The old version's evidence; set when the question had no limits.
    std::optional<version_evidence> from_evidence;
};

/// A router's response. Moves that the router has no state of are left out.
struct evidence_response
{
    /// The router's incarnation. A restarted router has another incarnation and
    /// counts from 0.
    std::string incarnation;
    std::vector<evidence_report> reports;
};

} // namespace turmeric::domain
