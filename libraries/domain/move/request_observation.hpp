#pragma once

#include <chrono>
#include <optional>

namespace turmeric::domain
{

/// How a request that was dispatched to a version ended. A request that the
/// caller cancelled or the router refused is not an observation.
struct request_observation
{
    bool is_failure = false;
    /// Unset when no token came.
    std::optional<std::chrono::microseconds> first_token;
    /// Unset when fewer than two tokens came.
    std::optional<std::chrono::microseconds> worst_gap;
};

} // namespace turmeric::domain
