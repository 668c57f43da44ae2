#include "libraries/domain/move/move_machine.hpp"

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

time_point later_by(time_point start, seconds duration)
{
    return start +
           std::chrono::duration_cast<std::chrono::system_clock::duration>(
               duration);
}

/// The weight of a step when time is shared out.
double weight_of(std::int32_t share)
{
    return 1 / std::sqrt(static_cast<double>(std::max(share, 1)));
}

std::int32_t last_step(const move_declaration& declared)
{
    return static_cast<std::int32_t>(declared.steps.size()) - 1;
}

/// Returns why the evidence forbids the new version; empty when it does not.
std::string fault_in(const move_input& input)
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

move_machine::move_machine(const move_settings& settings)
    : m_settings(settings)
{
}

std::optional<move_state> move_machine::next(const move_state& state,
                                             const move_declaration& declared,
                                             const move_input& input) const
{
    assert(!declared.steps.empty());
    constexpr std::array<transition, move_phase_names.size()> transitions = {
        &move_machine::from_waiting,     &move_machine::from_ramping,
        &move_machine::from_soaking,     &move_machine::stay,
        &move_machine::from_taking_back, &move_machine::stay};
    if (input.fencing < state.fencing)
    {
        return std::nullopt;
    }
    const transition step = transitions[static_cast<std::size_t>(state.phase)];
    std::optional<move_state> made = (this->*step)(state, declared, input);
    if (made)
    {
        made->fencing = input.fencing;
        made->sequence = state.sequence + 1;
        made->since = input.now;
    }
    return made;
}

std::optional<move_state>
move_machine::take_back(const move_state& state, const move_input& input,
                        const std::string& reason) const
{
    if (input.fencing < state.fencing || is_final(state.phase) ||
        state.phase == move_phase::taking_back)
    {
        return std::nullopt;
    }
    move_state made = state;
    made.phase = move_phase::taking_back;
    made.share = 0;
    made.reason = reason;
    made.fencing = input.fencing;
    made.sequence = state.sequence + 1;
    made.since = input.now;
    return made;
}

time_point move_machine::end_of_step(const move_state& state,
                                     const move_declaration& declared) const
{
    const time_point latest = declared.deadline - declared.soak;
    const seconds window = latest - declared.start;
    time_point end =
        later_by(declared.start, window * (1 - m_settings.reserve));
    if (end <= state.since)
    {
        end = later_by(state.since, seconds(latest - state.since) / 2);
    }
    double total = 0;
    for (std::int32_t step = state.step; step < last_step(declared); ++step)
    {
        total += weight_of(declared.steps[static_cast<std::size_t>(step)]);
    }
    const double part =
        total == 0
            ? 0
            : weight_of(declared.steps[static_cast<std::size_t>(state.step)]) /
                  total;
    return later_by(state.since, seconds(end - state.since) * part);
}

std::optional<latency_limits>
move_machine::limits_from(const version_evidence& old_version) const
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
move_machine::from_waiting(const move_state& state,
                           const move_declaration& declared,
                           const move_input& input) const
{
    const std::string fault = fault_in(input);
    if (!fault.empty())
    {
        return take_back(state, input, fault);
    }
    if (input.now >= declared.deadline - declared.soak)
    {
        return take_back(state, input, deadline_reason);
    }
    if (input.now < declared.start || !input.are_upstreams_ready ||
        !input.has_fresh_evidence)
    {
        return std::nullopt;
    }
    const std::optional<latency_limits> limits =
        limits_from(input.from_evidence);
    const seconds patience = seconds(declared.deadline - declared.start) *
                             m_settings.baseline_patience;
    if (!limits && input.now < later_by(declared.start, patience))
    {
        return std::nullopt;
    }
    move_state made = enter_step(state, declared, 0);
    made.limits = limits;
    return made;
}

std::optional<move_state>
move_machine::from_ramping(const move_state& state,
                           const move_declaration& declared,
                           const move_input& input) const
{
    const std::string fault = fault_in(input);
    if (!fault.empty())
    {
        return take_back(state, input, fault);
    }
    if (input.now > declared.deadline - declared.soak)
    {
        return take_back(state, input, deadline_reason);
    }
    if (input.now < end_of_step(state, declared))
    {
        return std::nullopt;
    }
    return advance(state, declared, input);
}

std::optional<move_state>
move_machine::advance(const move_state& state, const move_declaration& declared,
                      const move_input& input) const
{
    if (!input.has_fresh_evidence ||
        input.verdict.evidence >= m_settings.suspicion)
    {
        return std::nullopt;
    }
    return enter_step(state, declared, state.step + 1);
}

std::optional<move_state>
move_machine::from_soaking(const move_state& state,
                           const move_declaration& declared,
                           const move_input& input) const
{
    const std::string fault = fault_in(input);
    if (!fault.empty())
    {
        return take_back(state, input, fault);
    }
    if (input.now > declared.deadline)
    {
        return take_back(state, input, deadline_reason);
    }
    if (input.now < state.since + declared.soak || !input.has_fresh_evidence ||
        input.verdict.evidence >= m_settings.suspicion)
    {
        return std::nullopt;
    }
    move_state made = state;
    made.phase = move_phase::finished;
    made.share = whole_share;
    return made;
}

std::optional<move_state>
move_machine::from_taking_back(const move_state& state,
                               const move_declaration& /*declared*/,
                               const move_input& input) const
{
    if (input.now < state.since + m_settings.taking_back_limit)
    {
        return std::nullopt;
    }
    move_state made = state;
    made.phase = move_phase::taken_back;
    return made;
}

std::optional<move_state>
move_machine::stay(const move_state& /*state*/,
                   const move_declaration& /*declared*/,
                   const move_input& /*input*/) const
{
    return std::nullopt;
}

move_state move_machine::enter_step(const move_state& state,
                                    const move_declaration& declared,
                                    std::int32_t step) const
{
    move_state made = state;
    const bool is_last = step >= last_step(declared);
    made.step = std::min(step, last_step(declared));
    made.phase = is_last ? move_phase::soaking : move_phase::ramping;
    made.share = std::min(declared.steps[static_cast<std::size_t>(made.step)],
                          whole_share - m_settings.control_share);
    return made;
}

} // namespace turmeric::domain
