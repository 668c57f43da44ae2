#include "libraries/domain/move/move_state_machine.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <fmt/format.h>

namespace turmeric::domain
{

namespace
{

using time_point = std::chrono::system_clock::time_point;
using seconds = std::chrono::duration<double>;

time_point add_duration(time_point start, seconds duration)
{
    return start +
           std::chrono::duration_cast<std::chrono::system_clock::duration>(
               duration);
}

/// Returns the weight of a step when the time left is divided among steps.
double weight_of(std::int32_t share)
{
    return 1 / std::sqrt(static_cast<double>(std::max(share, 1)));
}

std::int32_t last_step(const move_declaration& declared)
{
    return static_cast<std::int32_t>(declared.steps.size()) - 1;
}

/// Returns why the move is to be rolled back; empty when it is not.
std::string rollback_reason(const move_input& input)
{
    if (!input.cut_reason.empty())
    {
        return input.cut_reason;
    }
    if (input.verdict.is_bad)
    {
        return std::string(name_of(input.verdict.property));
    }
    return {};
}

} // namespace

move_state_machine::move_state_machine(const move_settings& settings)
    : m_settings(settings)
{
}

std::optional<move_state>
move_state_machine::next(const move_state& state,
                         const move_declaration& declared,
                         const move_input& input) const
{
    assert(!declared.steps.empty());
    constexpr std::array<transition, move_phase_names.size()> transitions = {
        &move_state_machine::from_waiting,
        &move_state_machine::from_ramping,
        &move_state_machine::from_soaking,
        &move_state_machine::stay,
        &move_state_machine::from_rolling_back,
        &move_state_machine::stay};
    if (input.fencing < state.fencing)
    {
        return std::nullopt;
    }
    const transition step = transitions[static_cast<std::size_t>(state.phase)];
    std::optional<move_state> next_state =
        (this->*step)(state, declared, input);
    if (next_state)
    {
        next_state->fencing = input.fencing;
        next_state->sequence = state.sequence + 1;
        next_state->since = input.now;
    }
    return next_state;
}

std::optional<move_state>
move_state_machine::roll_back(const move_state& state, const move_input& input,
                              const std::string& reason) const
{
    if (input.fencing < state.fencing || is_final(state.phase) ||
        state.phase == move_phase::rolling_back)
    {
        return std::nullopt;
    }
    move_state next_state = state;
    next_state.phase = move_phase::rolling_back;
    next_state.share = 0;
    next_state.reason = reason;
    next_state.fencing = input.fencing;
    next_state.sequence = state.sequence + 1;
    next_state.since = input.now;
    return next_state;
}

time_point
move_state_machine::end_of_step(const move_state& state,
                                const move_declaration& declared) const
{
    const time_point latest = declared.deadline - declared.soak;
    const seconds window = latest - declared.start;
    time_point end =
        add_duration(declared.start, window * (1 - m_settings.reserve));
    if (end <= state.since)
    {
        end = add_duration(state.since, seconds(latest - state.since) / 2);
    }
    double total = 0;
    for (std::int32_t step = state.step; step < last_step(declared); ++step)
    {
        total += weight_of(declared.steps[static_cast<std::size_t>(step)]);
    }
    const double fraction =
        total == 0
            ? 0
            : weight_of(declared.steps[static_cast<std::size_t>(state.step)]) /
                  total;
    return add_duration(state.since, seconds(end - state.since) * fraction);
}

std::optional<latency_limits>
move_state_machine::limits_from(const version_evidence& old_version) const
{
    if (old_version.requests < m_settings.baseline_requests)
    {
        return std::nullopt;
    }
    const auto limit = [this](const latency_sketch& sketch)
    {
        constexpr std::chrono::microseconds unlimited = std::chrono::hours(1);
        return sketch.count() == 0 ? unlimited
                                   : sketch.quantile(m_settings.slow_quantile);
    };
    return latency_limits{limit(old_version.first_token),
                          limit(old_version.worst_gap)};
}

std::optional<move_state>
move_state_machine::from_waiting(const move_state& state,
                                 const move_declaration& declared,
                                 const move_input& input) const
{
    const std::string reason = rollback_reason(input);
    if (!reason.empty())
    {
        return roll_back(state, input, reason);
    }
    if (input.now >= declared.deadline - declared.soak)
    {
        return roll_back(state, input, deadline_reason);
    }
    if (input.now < declared.start || !input.are_upstreams_ready ||
        !input.has_fresh_evidence)
    {
        return std::nullopt;
    }
    const std::optional<latency_limits> limits =
        limits_from(input.from_evidence);
    const seconds baseline_timeout =
        seconds(declared.deadline - declared.start) *
        m_settings.baseline_timeout_share;
    if (!limits && input.now < add_duration(declared.start, baseline_timeout))
    {
        return std::nullopt;
    }
    move_state next_state = enter_step(state, declared, 0);
    next_state.limits = limits;
    return next_state;
}

std::optional<move_state>
move_state_machine::from_ramping(const move_state& state,
                                 const move_declaration& declared,
                                 const move_input& input) const
{
    const std::string reason = rollback_reason(input);
    if (!reason.empty())
    {
        return roll_back(state, input, reason);
    }
    if (input.now > declared.deadline - declared.soak)
    {
        return roll_back(state, input, deadline_reason);
    }
    if (input.now < end_of_step(state, declared))
    {
        return std::nullopt;
    }
    return advance(state, declared, input);
}

std::optional<move_state>
move_state_machine::advance(const move_state& state,
                            const move_declaration& declared,
                            const move_input& input) const
{
    if (!input.has_fresh_evidence ||
        input.verdict.evidence >= m_settings.pause_threshold)
    {
        return std::nullopt;
    }
    return enter_step(state, declared, state.step + 1);
}

std::optional<move_state>
move_state_machine::from_soaking(const move_state& state,
                                 const move_declaration& declared,
                                 const move_input& input) const
{
    const std::string reason = rollback_reason(input);
    if (!reason.empty())
    {
        return roll_back(state, input, reason);
    }
    if (input.now > declared.deadline)
    {
        return roll_back(state, input, deadline_reason);
    }
    if (input.now < state.since + declared.soak || !input.has_fresh_evidence ||
        input.verdict.evidence >= m_settings.pause_threshold)
    {
        return std::nullopt;
    }
    move_state next_state = state;
    next_state.phase = move_phase::finished;
    next_state.share = full_share;
    return next_state;
}

std::optional<move_state>
move_state_machine::from_rolling_back(const move_state& state,
                                      const move_declaration& /*declared*/,
                                      const move_input& input) const
{
    if (input.now < state.since + m_settings.rollback_time_limit)
    {
        return std::nullopt;
    }
    move_state next_state = state;
    next_state.phase = move_phase::rolled_back;
    return next_state;
}

std::optional<move_state>
move_state_machine::stay(const move_state& /*state*/,
                         const move_declaration& /*declared*/,
                         const move_input& /*input*/) const
{
    return std::nullopt;
}

move_state move_state_machine::enter_step(const move_state& state,
                                          const move_declaration& declared,
                                          std::int32_t step) const
{
    move_state next_state = state;
    const bool is_last = step >= last_step(declared);
    next_state.step = std::min(step, last_step(declared));
    next_state.phase = is_last ? move_phase::soaking : move_phase::ramping;
    next_state.share =
        std::min(declared.steps[static_cast<std::size_t>(next_state.step)],
                 full_share - m_settings.control_share);
    return next_state;
}

} // namespace turmeric::domain
