#pragma once

#include <chrono>

namespace turmeric::domain
{

/// Past these a request of the old version counts as slow; taken from it
/// when a move starts and the same for the whole fleet.
struct latency_limits
{
    std::chrono::microseconds first_token{0};
    std::chrono::microseconds token_gap{0};

    bool operator==(const latency_limits&) const = default;
};

} // namespace turmeric::domain
