#pragma once

#include "libraries/drivers/threads/thread_pool.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <httplib.h>

namespace turmeric::adapters
{

/// Serves each connection on a thread of its own. When all threads are in use,
/// a few overflow threads refuse further connections with an error response.
/// Thread safe.
class connection_thread_pool final : public httplib::TaskQueue
{
public:
    /// Counts the connections that are served in `open_connections`.
    /// Precondition: `max_connections` is at least 1; `open_connections`
    /// outlives this.
    connection_thread_pool(std::size_t max_connections,
                           std::atomic<std::size_t>& open_connections);

    /// Serves a connection, or refuses it on an overflow thread. Blocks while
    /// the overflow threads are in use too, so that further connections wait in
    /// the kernel's backlog. Thread safe.
    void enqueue(std::function<void()> connection) override;

    /// Waits for the open connections to end. Thread safe.
    void shutdown() override;

    /// Returns whether the calling thread is an overflow thread, which may only
    /// refuse requests. Thread safe.
    [[nodiscard]] static bool is_overflow_thread();

private:
    std::atomic<std::size_t>& m_open_connections;
    drivers::thread_pool m_threads;
    drivers::thread_pool m_overflow_threads;
};

} // namespace turmeric::adapters
