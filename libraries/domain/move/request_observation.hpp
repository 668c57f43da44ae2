#pragma once

#include <chrono>
#include <optional>

namespace turmeric::domain
{

/// The result and latencies of one request that was dispatched to a version.
/// A request that the caller cancelled or the router refused does not count.
struct request_observation
{
    bool is_failure = false;
    /// Time to the first token; unset when no token arrived.
    std::optional<std::chrono::microseconds> first_token;
    /// Longest time between two tokens; unset when fewer than two arrived.
    std::optional<std::chrono::microseconds> worst_gap;
};

} // namespace turmeric::domain
