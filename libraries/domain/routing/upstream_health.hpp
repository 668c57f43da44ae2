#pragma once

#include "libraries/domain/routing/choice.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// When a failing upstream is passed over and how it returns.
struct health_limits
{
    /// Failures in a row that eject.
    std::int32_t failures_to_eject = 3;
    std::chrono::milliseconds first_ejection{2'000};
    std::chrono::milliseconds longest_ejection{60'000};
    /// Successes after an ejection until the whole share is in use again.
    std::int32_t successes_to_return = 8;
};

/// Decides from the ends of calls how much work one upstream gets: all, none
/// while ejected, and a rising part of it on its return. Not thread safe.
class upstream_health
{
public:
    /// Starts healthy. Not thread safe.
    explicit upstream_health(const health_limits& limits);

    /// Records the end of a call. Not thread safe.
    void record(call_result outcome, ports::steady_time now);

    /// Returns how many of `share` slots may be in use now. Not thread safe.
    [[nodiscard]] std::int64_t allowed(std::int64_t share,
                                       ports::steady_time now) const;

    /// Tells whether it is ejected now. Not thread safe.
    [[nodiscard]] bool is_ejected(ports::steady_time now) const;

private:
    void eject(ports::steady_time now);

    health_limits m_limits;
    std::int32_t m_failures = 0;
    std::int32_t m_ejections = 0;
    /// Successes still missing for the whole share; 0 when healthy.
    std::int32_t m_missing = 0;
    ports::steady_time m_ejected_until{};
};

} // namespace turmeric::domain
