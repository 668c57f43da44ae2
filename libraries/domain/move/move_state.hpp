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

inline constexpr std::int32_t full_share = 1'000'000;

/// The reason of a move that was taken back because its time was over.
inline constexpr const char* deadline_reason = "deadline";

/// A version move as it is stored, changed by compare-and-swap alone.
struct move_state
{
    std::string route;
    std::string from_version;
    std::string to_version;
    /// Tells this move from others on the route; see `identity_of`.
    std::uint64_t identity = 0;
    move_phase phase = move_phase::waiting;
    /// Index into the declared steps while ramping.
    std::int32_t step = 0;
    /// The new version's share of new requests, in parts in a million.
    std::int32_t share = 0;
    /// The most that a router gives the new version once no controller has
    /// been heard of for long.
    std::int32_t capped_share = 0;
    /// The fencing number of the controller that wrote this.
    std::int64_t fencing = 0;
    /// Goes up by one with each change.
    std::int64_t sequence = 0;
    std::chrono::system_clock::time_point deadline;
    /// When the phase or step began.
    std::chrono::system_clock::time_point since;
    /// Unset until the old version's latencies are known.
    std::optional<latency_limits> limits;
    /// Upstreams that have loaded the new version, by name.
    std::vector<std::string> ready_upstreams;
    /// Why it was taken back; empty otherwise.
    std::string reason;

    bool operator==(const move_state&) const = default;
};

/// Returns the number that names a declared move: another version, start or
/// deadline makes another move. Thread safe.
[[nodiscard]] std::uint64_t identity_of(const move_declaration& declared);

/// Returns the state in which a declared move begins. Thread safe.
[[nodiscard]] move_state initial_state(const move_declaration& declared);

} // namespace turmeric::domain
