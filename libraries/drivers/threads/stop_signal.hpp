#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace turmeric::drivers
{

/// Lets threads sleep until a duration has passed or a stop is requested.
/// Thread safe.
class stop_signal
{
public:
    /// Requests the stop: ends all current and later sleeps. Thread safe.
    void request_stop();

    /// Returns whether a stop was requested. Thread safe.
    [[nodiscard]] bool is_stopping() const;

    /// Sleeps for `duration` and returns true. Returns false as soon as a stop
    /// is requested, or at once if one was requested before. Thread safe.
    bool sleep_for(std::chrono::milliseconds duration);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_stopping = false;
};

} // namespace turmeric::drivers
