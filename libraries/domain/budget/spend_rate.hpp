#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <optional>

namespace turmeric::domain
{

/// An exponentially decaying average of the tokens spent per minute. Not thread
/// safe.
class spend_rate
{
public:
    /// Precondition: `window` is positive.
    explicit spend_rate(std::chrono::seconds window);

    /// Records that tokens were spent at `now`. The rate begins with the first
    /// tokens, not with a call for none. Not thread safe.
    void add(tokens spent, ports::steady_time now);

    /// Returns the spend rate in tokens per minute. Not thread safe.
    [[nodiscard]] tokens per_minute(ports::steady_time now) const;

private:
    [[nodiscard]] double decayed(ports::steady_time now) const;

    std::chrono::duration<double> m_window;
    std::optional<ports::steady_time> m_started_at;
    ports::steady_time m_updated_at;
    double m_sum = 0.0;
};

} // namespace turmeric::domain
