#pragma once

#include "libraries/domain/retry/retry_rate_limiter.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace turmeric::drivers
{

/// Settings of a VM for its traffic.
struct traffic_settings
{
    std::string data_centre;
    domain::retry_rate_limits retries;
    /// How long a stopping router still accepts new requests.
    std::chrono::milliseconds stop_accepting_after{2'500};
    /// Maximum idle time of an upstream connection that is reused for a request
    /// that is not repeatable.
    std::chrono::milliseconds max_idle_non_repeatable{1'000};
    /// The same for repeatable requests.
    std::chrono::milliseconds max_idle_repeatable{3'000};
    std::chrono::milliseconds connect_timeout{400};
    /// A response body that reaches this size, in bytes, is forwarded while it
    /// arrives instead of after it is complete. The body of an error response
    /// or a single event of this size ends the call to its upstream.
    std::size_t max_buffered_bytes = 256 << 10;
    /// Maximum number of requests in flight; further ones are refused.
    std::size_t max_exchanges = 1'500;
    /// What a request in flight takes beside its messages: the exchange, its
    /// attempt and the upstream's connection with its buffers.
    std::int64_t exchange_bytes = 24 << 10;
    /// Speed of the VM's network link, in megabits per second; 0 if it is not
    /// known.
    double link_mbps = 0;
};

} // namespace turmeric::drivers
