#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// What a controller knows of an incarnation that holds grants.
struct incarnation_evidence
{
    /// Its lease is in force.
    bool has_lease = false;
    /// Its VM was seen in the VM list and then left it.
    bool has_vm_left = false;
    /// A later incarnation registered on the same VM.
    bool has_successor = false;
};

/// What a controller does about an incarnation in a shard.
enum class reclaim_step : std::uint8_t
{
    keep,
    freeze,
    close,
};

/// Settings of `next_reclaim_step`.
struct reclaim_settings
{
    /// The longest time a request may take; a frozen grant is kept for it.
    std::chrono::seconds freeze_time{600};
    /// Added to terms, for the difference between clocks.
    std::chrono::seconds clock_skew{60};
};

/// Returns the step that is due: freeze when the lease has lapsed and the VM
/// left or has a successor, or when the term is over; close after the freeze
/// time. Thread safe.
[[nodiscard]] reclaim_step
next_reclaim_step(const incarnation_record& record,
                  const incarnation_evidence& evidence, sys_seconds now,
                  const reclaim_settings& settings);

} // namespace turmeric::domain
