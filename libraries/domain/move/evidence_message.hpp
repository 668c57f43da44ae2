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

/// Asks a router about one move.
struct evidence_question
{
    std::string route;
    std::uint64_t identity = 0;
    /// Unset: the old version's latencies are wanted whole.
    std::optional<latency_limits> limits;
    /// Set once the controller knows that the new version is bad: the router
    /// cuts it at once, also while the store is out of reach.
    std::string cut_reason;
};

/// What the leading controller asks each router.
struct evidence_request
{
    /// Of the controller's leadership; also proves that it lives.
    std::int64_t fencing = 0;
    std::vector<evidence_question> questions;
};

/// What a router knows of one move.
struct evidence_report
{
    std::string route;
    std::uint64_t identity = 0;
    /// The sequence of the move's state that is in force at the router.
    std::int64_t sequence = 0;
    /// Why the router cut the new version; empty when it did not.
    std::string cut_reason;
    tally_pair tally;
    /// Set when the question had no limits.
    std::optional<version_evidence> from_evidence;
};

/// A router's answer; moves it does not know are left out.
struct evidence_response
{
    /// Of the router; a restart counts from 0 under another name.
    std::string incarnation;
    std::vector<evidence_report> reports;
};

} // namespace turmeric::domain
