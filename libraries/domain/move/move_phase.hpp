#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace turmeric::domain
{

/// The phase of a version move.
enum class move_phase : std::uint8_t
{
    /// The move has not started: its start time is ahead, or its upstreams
    /// have not loaded the version, or the baseline is not measured yet.
    waiting,
    /// The share of the new version rises step by step.
    ramping,
    /// The new version has all requests except for a control share.
    soaking,
    finished,
    /// The new version gets no new requests; earlier ones may still run.
    rolling_back,
    rolled_back,
};

inline constexpr std::array<std::string_view, 6> move_phase_names = {
    "waiting", "ramping", "soaking", "finished", "taking_back", "taken_back"};

/// Returns the name used in stored states. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(move_phase phase)
{
    return move_phase_names[static_cast<std::size_t>(phase)];
}

/// Returns whether the phase is never left. Thread safe.
[[nodiscard]] constexpr bool is_final(move_phase phase)
{
    return phase == move_phase::finished || phase == move_phase::rolled_back;
}

} // namespace turmeric::domain
