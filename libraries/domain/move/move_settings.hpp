#pragma once

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// How fast moves advance and how they end.
struct move_settings
{
    /// The fraction of the time from the start to the beginning of the last
    /// possible soak that the steps leave unused, as a reserve for controller
    /// changes and outages.
    double reserve = 0.15;
    /// Share of requests that the old version keeps during the soak as a
    /// control group, in parts per million.
    std::int32_t control_share = 100'000;
    /// While the evidence (see `version_verdict`) against the new version is at
    /// least this, the move does not advance.
    double pause_threshold = 0.5;
    /// Requests of the old version that are counted before the latency limits
    /// are derived from them.
    std::int64_t baseline_requests = 200;
    /// The move waits for these requests for at most this fraction of the time
    /// from its start to its deadline; then it starts without latency limits.
    double baseline_timeout_share = 0.1;
    /// A latency above this quantile of the old version's latencies is slow.
    double slow_quantile = 0.9;
    /// How long requests may still run on a version that is rolled back.
    std::chrono::seconds rollback_time_limit{60};
};

} // namespace turmeric::domain
