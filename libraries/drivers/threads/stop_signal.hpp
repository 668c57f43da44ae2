#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace turmeric::drivers
{

/// Lets a thread sleep until a time passes or it is told to stop. Thread safe.
class stop_signal
{
public:
    /// Tells every waiter to stop, now and later. Thread safe.
    void request_stop();

    /// Tells whether a stop was requested. Thread safe.
    [[nodiscard]] bool is_stopping() const;

    /// Sleeps for `duration` and returns true, or returns false at once when
    /// a stop is or gets requested. Thread safe.
    bool sleep_for(std::chrono::milliseconds duration);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_stopping = false;
};

} // namespace turmeric::drivers
