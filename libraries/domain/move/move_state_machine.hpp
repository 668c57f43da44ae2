#pragma once

#include "libraries/domain/move/move_input.hpp"
#include "libraries/domain/move/move_settings.hpp"
#include "libraries/domain/move/move_state.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace turmeric::domain
{

/// The transitions of a version move. Each is to be stored by one
/// compare-and-swap against the state it was made from. Thread safe; holds
/// nothing but its settings.
class move_state_machine
{
public:
    /// Makes a machine. No precondition.
    explicit move_state_machine(const move_settings& settings);

    /// Returns the state that follows, or nothing when the move stays where
    /// it is or the input carries an older fencing number than the state.
    /// Precondition: `state` is of `declared`, whose steps rise to a million.
    [[nodiscard]] std::optional<move_state>
    next(const move_state& state, const move_declaration& declared,
         const move_input& input) const;

    /// Returns the state in which the move is being taken back, or nothing
    /// when it is over, being taken back, or the input's fencing number is
    /// older than the state's. Thread safe.
    [[nodiscard]] std::optional<move_state>
    roll_back(const move_state& state, const move_input& input,
              const std::string& reason) const;

    /// Returns when the step that `state` is in ends: the time that is left
    /// is shared among the steps, and small shares, which bring evidence
    /// slowly, get more of it. Precondition: as for `next`. Thread safe.
    [[nodiscard]] std::chrono::system_clock::time_point
    end_of_step(const move_state& state,
                const move_declaration& declared) const;

private:
    using transition = std::optional<move_state> (move_state_machine::*)(
        const move_state&, const move_declaration&, const move_input&) const;

    [[nodiscard]] std::optional<move_state>
    from_waiting(const move_state& state, const move_declaration& declared,
                 const move_input& input) const;
    [[nodiscard]] std::optional<move_state>
    from_ramping(const move_state& state, const move_declaration& declared,
                 const move_input& input) const;
    [[nodiscard]] std::optional<move_state>
    from_soaking(const move_state& state, const move_declaration& declared,
                 const move_input& input) const;
    [[nodiscard]] std::optional<move_state>
    from_rolling_back(const move_state& state, const move_declaration& declared,
                      const move_input& input) const;
    [[nodiscard]] std::optional<move_state>
    stay(const move_state& state, const move_declaration& declared,
         const move_input& input) const;

    [[nodiscard]] std::optional<move_state>
    advance(const move_state& state, const move_declaration& declared,
            const move_input& input) const;
    [[nodiscard]] move_state enter_step(const move_state& state,
                                        const move_declaration& declared,
                                        std::int32_t step) const;
    [[nodiscard]] std::optional<latency_limits>
    limits_from(const version_evidence& old_version) const;

    move_settings m_settings;
};

} // namespace turmeric::domain
