#pragma once

#include "libraries/domain/retry/retry_window.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace turmeric::drivers
{

/// What the operators of a VM set for its traffic.
struct traffic_settings
{
    std::string data_centre;
    domain::retry_window_limits retries;
    /// How long a stopping router still takes new requests.
    std::chrono::milliseconds stop_accepting_after{2'500};
    /// How long a connection to an upstream may have been idle when a
    /// request that may not repeat goes onto it.
    std::chrono::milliseconds max_idle_at_most_once{1'000};
    std::chrono::milliseconds max_idle_repeatable{3'000};
    std::chrono::milliseconds connect_timeout{400};
    /// The most of an answer that is kept before it is passed on, in bytes.
    std::size_t max_buffered_bytes = 256 << 10;
    /// The most requests in flight.
    std::size_t max_exchanges = 1'500;
};

} // namespace turmeric::drivers
