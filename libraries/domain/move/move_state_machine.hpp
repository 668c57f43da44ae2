#pragma once

#include "libraries/domain/move/move_input.hpp"
#include "libraries/domain/move/move_settings.hpp"
#include "libraries/domain/move/move_state.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace turmeric::domain
{

/// The state transitions of a version move. The caller stores each new state
/// by one compare-and-swap against the state that it follows. Thread safe: the
/// class has no state except for its settings.
class move_state_machine
{
public:
    /// Creates a state machine with these settings. No precondition.
    explicit move_state_machine(const move_settings& settings);

    /// Returns the next state, or nothing when the state does not change or
    /// the input's fencing number is lower than the state's. Precondition:
    /// `state` belongs to `declared`, whose steps rise to `full_share`.
    [[nodiscard]] std::optional<move_state>
    next(const move_state& state, const move_declaration& declared,
         const move_input& input) const;

    /// Returns the state in which the move is rolling back. Returns nothing
    /// when the move has ended or is rolling back already, or when the input's
    /// fencing number is lower than the state's. Thread safe.
    [[nodiscard]] std::optional<move_state>
    roll_back(const move_state& state, const move_input& input,
              const std::string& reason) const;

    /// Returns when the current step of `state` ends. The time that is left is
    /// divided among the remaining steps. Steps with a small share get more of
    /// it because evidence accumulates slowly in them. Precondition: as for
    /// `next`. Thread safe.
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
