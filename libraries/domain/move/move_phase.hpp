#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace turmeric::domain
{

/// Where a version move stands.
enum class move_phase : std::uint8_t
{
    /// Before its start, or its upstreams do not have the version yet.
    waiting,
    ramping,
    /// The new version has all traffic but a control share.
    soaking,
    finished,
    /// No new requests go to the new version; some may still run.
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

/// Tells whether the phase is never left. Thread safe.
[[nodiscard]] constexpr bool is_final(move_phase phase)
{
    return phase == move_phase::finished || phase == move_phase::rolled_back;
}

} // namespace turmeric::domain
