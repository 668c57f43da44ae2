#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/move/latency_limits.hpp"
#include "libraries/domain/move/move_phase.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// All requests, in parts per million.
inline constexpr std::int32_t full_share = 1'000'000;

/// The reason stored with a move that is rolled back because it could not
/// finish by its deadline.
inline constexpr const char* deadline_reason = "deadline";

/// A version move as it is stored. It is changed only by compare-and-swap.
struct move_state
{
    std::string route;
    std::string from_version;
    std::string to_version;
    /// Distinguishes this move from others on the route; see `identity_of`.
    std::uint64_t identity = 0;
    move_phase phase = move_phase::waiting;
    /// Index into the declared steps while ramping.
    std::int32_t step = 0;
    /// The new version's share of new requests, in parts per million.
    std::int32_t share = 0;
    /// The highest share, in parts per million, that a router gives the new
    /// version without contact with a controller for
    /// `guard_settings::capped_after`.
    std::int32_t capped_share = 0;
    /// The fencing number of the controller that wrote this state.
    std::int64_t fencing = 0;
    /// Increases by one with each change.
    std::int64_t sequence = 0;
    std::chrono::system_clock::time_point deadline;
    /// Start of the current phase or step.
    std::chrono::system_clock::time_point since;
    /// Unset until they are derived from the old version's latencies.
    std::optional<latency_limits> limits;
    /// Upstreams that have loaded the new version, by name.
    std::vector<std::string> ready_upstreams;
    /// Why the move is rolled back; empty otherwise.
    std::string reason;

    bool operator==(const move_state&) const = default;
};

/// Returns a number that identifies a declared move: a digest of its route,
/// versions, start and deadline. Thread safe.
[[nodiscard]] std::uint64_t identity_of(const move_declaration& declared);

/// Returns the state in which a declared move begins. Thread safe.
[[nodiscard]] move_state initial_state(const move_declaration& declared);

} // namespace turmeric::domain
