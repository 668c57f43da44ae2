#pragma once

#include "libraries/domain/move/judge_settings.hpp"
#include "libraries/domain/move/move_settings.hpp"

#include <chrono>
#include <cstddef>

namespace turmeric::drivers
{

/// Settings of the leading controller's move driver.
struct move_driver_settings
{
    domain::move_settings moves;
    domain::judge_settings judge;
    /// The time between two rounds of evidence requests to the routers.
    std::chrono::milliseconds poll_interval{500};
    /// The time limit of one evidence request.
    std::chrono::milliseconds call_timeout{300};
    /// A router's response that is older than this is not fresh.
    std::chrono::seconds max_evidence_age{3};
    /// The evidence is fresh when at least this fraction of the live routers
    /// has responded.
    double min_fresh_fraction = 0.9;
    /// The number of threads that request evidence in parallel.
    std::size_t max_parallel_calls = 8;
    /// The time limit for an engine to load a version.
    std::chrono::milliseconds order_timeout{120'000};
    /// How long after the start of this term a predecessor may still have
    /// believed that it led. An order that it sent by then can be in progress
    /// for a further `order_timeout`.
    std::chrono::milliseconds lease_margin{10'000};
    /// The delay before a failed order is sent again.
    std::chrono::milliseconds order_retry_delay{10'000};
    /// The rate of load orders, over all engines, that the weight store can
    /// serve.
    double max_loads_per_minute = 6;
};

} // namespace turmeric::drivers
