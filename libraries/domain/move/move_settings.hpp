#pragma once

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// How moves are paced and ended.
struct move_settings
{
    /// Of the time between start and deadline less the soak, the part kept
    /// back for controller changes and outages.
    double reserve = 0.15;
    /// Share of requests that the old version keeps through the soak, in
    /// parts in a million, as a control group.
    std::int32_t control_share = 100'000;
    /// Evidence (see `version_verdict`) above which no step is taken.
    double pause_threshold = 0.5;
    /// Requests of the old version that fix what counts as slow.
    std::int64_t baseline_requests = 200;
    /// Of the time to the deadline, the fraction that may pass until then.
    double baseline_timeout_share = 0.1;
    /// A latency counts as slow past this quantile of the old version's.
    double slow_quantile = 0.9;
    /// How long requests of a version that is taken back may still run.
    std::chrono::seconds rollback_time_limit{60};
};

} // namespace turmeric::domain
