#pragma once

#include <atomic>

namespace turmeric::adapters
{

/// A mutex that a signal handler may try to lock, which std::mutex does not
/// permit. Not recursive. Thread safe.
class flag_lock
{
public:
    flag_lock() = default;
    flag_lock(const flag_lock&) = delete;
    flag_lock& operator=(const flag_lock&) = delete;

    /// Waits until the lock is free and locks it. Precondition: this thread
    /// does not hold it.
    void lock()
    {
        while (m_is_locked.test_and_set(std::memory_order_acquire))
        {
            m_is_locked.wait(true, std::memory_order_relaxed);
        }
    }

    /// Locks it if it is free, and returns whether it did. May be called in a
    /// signal handler, also if this thread holds the lock.
    [[nodiscard]] bool try_lock() noexcept
    {
        return !m_is_locked.test_and_set(std::memory_order_acquire);
    }

    /// Precondition: this thread holds the lock.
    void unlock()
    {
        m_is_locked.clear(std::memory_order_release);
        m_is_locked.notify_one();
    }

private:
    std::atomic_flag m_is_locked;
};

} // namespace turmeric::adapters
