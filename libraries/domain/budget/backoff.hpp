#pragma once

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// Returns the time to wait after the given number of failures in a row:
/// exponential with full jitter above a quarter. Preconditions: `failures` is
/// positive; `jitter` is within 0 and 1. Thread safe.
[[nodiscard]] std::chrono::milliseconds
backoff_after(std::int32_t failures, double jitter,
              std::chrono::milliseconds minimum,
              std::chrono::milliseconds maximum);

} // namespace turmeric::domain
