#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// What a controller observed about an incarnation that has grants.
struct incarnation_evidence
{
    /// Its lease has not expired.
    bool has_lease = false;
    /// Its VM was in the VM list and was then removed from it.
    bool has_vm_left = false;
    /// A later incarnation registered on the same VM.
    bool has_successor = false;
};

/// The action that a controller takes on an incarnation in a shard.
enum class reclaim_step : std::uint8_t
{
    /// Leave the incarnation as it is.
    keep,
    freeze,
    close,
};

/// Settings of `next_reclaim_step`.
struct reclaim_settings
{
    /// How long a frozen grant is kept before it is closed: the longest time
    /// that a request may take.
    std::chrono::seconds freeze_time{600};
    /// Added to the end of a term, to allow for the difference between clocks.
    std::chrono::seconds clock_skew{60};
};

/// Returns the step that is due: `freeze` if the lease has expired and either
/// the VM left the VM list or a later incarnation registered on it, or if the
/// term is over; `close` after the freeze time; otherwise `keep`. Thread safe.
[[nodiscard]] reclaim_step
next_reclaim_step(const incarnation_record& record,
                  const incarnation_evidence& evidence, sys_seconds now,
                  const reclaim_settings& settings);

} // namespace turmeric::domain
