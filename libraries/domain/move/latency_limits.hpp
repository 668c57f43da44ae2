#pragma once

#include <chrono>

namespace turmeric::domain
{

/// A request of the old version with a longer latency than these counts as
/// slow. The limits are derived from the old version's latencies when a move
/// starts and are the same for the whole fleet.
struct latency_limits
{
    std::chrono::microseconds first_token{0};
    std::chrono::microseconds token_gap{0};

    bool operator==(const latency_limits&) const = default;
};

} // namespace turmeric::domain
