#pragma once

#include "libraries/domain/routing/choice.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// When a failing upstream is ejected and how it recovers.
struct health_limits
{
    /// Consecutive failures that eject an upstream.
    std::int32_t failures_to_eject = 3;
    std::chrono::milliseconds first_ejection{2'000};
    std::chrono::milliseconds max_ejection{60'000};
    /// Successes after an ejection until all slots of the share may be used
    /// again.
    std::int32_t successes_to_recover = 8;
};

/// Decides from the results of calls how many slots of one upstream may be
/// used: all while it is healthy, none while it is ejected, and after an
/// ejection a part that grows with each success. Not thread safe.
class upstream_health
{
public:
    /// Starts as healthy. Not thread safe.
    explicit upstream_health(const health_limits& limits);

    /// Records the result of a call. Not thread safe.
    void record(call_result outcome, ports::steady_time now);

    /// Returns how many of `share` slots may be used now. Not thread safe.
    [[nodiscard]] std::int64_t allowed(std::int64_t share,
                                       ports::steady_time now) const;

    /// Returns whether the upstream is ejected now. Not thread safe.
    [[nodiscard]] bool is_ejected(ports::steady_time now) const;

private:
    void eject(ports::steady_time now);

    health_limits m_limits;
    std::int32_t m_consecutive_failures = 0;
    std::int32_t m_ejections = 0;
    /// Successes needed until the upstream is healthy again; 0 when healthy.
    std::int32_t m_successes_needed = 0;
    ports::steady_time m_ejected_until{};
};

} // namespace turmeric::domain
