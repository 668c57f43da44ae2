#pragma once

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// Returns the time to wait after `failures` consecutive failures. The full
/// backoff starts at `minimum` and doubles with each failure up to `maximum`;
/// a quarter of it is fixed and the rest is scaled by `jitter`.
/// Preconditions: `failures` is positive; `jitter` is within 0 and 1. Thread
/// safe.
[[nodiscard]] std::chrono::milliseconds
backoff_after(std::int32_t failures, double jitter,
              std::chrono::milliseconds minimum,
              std::chrono::milliseconds maximum);

} // namespace turmeric::domain
