#pragma once

#include "libraries/domain/move/judge_settings.hpp"
#include "libraries/domain/move/move_settings.hpp"

#include <chrono>
#include <cstddef>

namespace turmeric::drivers
{

/// How the leading controller runs moves.
struct move_driver_settings
{
    domain::move_settings moves;
    domain::judge_settings judge;
    /// Between two rounds of questions to the routers.
    std::chrono::milliseconds poll_interval{500};
    std::chrono::milliseconds call_timeout{300};
    /// An answer older than this is not fresh.
    std::chrono::seconds max_evidence_age{3};
    /// Evidence is fresh when this share of the live routers answered.
    double min_fresh_fraction = 0.9;
    /// Threads that ask routers at the same time.
    std::size_t max_parallel_calls = 8;
    /// The longest that an engine may take to load a version.
    std::chrono::milliseconds order_timeout{120'000};
    /// Beyond an order's timeout, how long a predecessor may have believed
    /// that it led.
    std::chrono::milliseconds lease_margin{10'000};
    /// Before an order that failed is sent again.
    std::chrono::milliseconds order_retry_delay{10'000};
    /// What the weight store bears, over all engines.
    double max_loads_per_minute = 6;
};

} // namespace turmeric::drivers
