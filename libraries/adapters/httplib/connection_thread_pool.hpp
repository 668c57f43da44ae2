#pragma once

#include "libraries/drivers/threads/thread_pool.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <httplib.h>

namespace turmeric::adapters
{

/// Gives each connection a thread of its own. When all are taken, a few
/// spare threads answer with a refusal instead. Thread safe.
class connection_thread_pool final : public httplib::TaskQueue
{
public:
    /// Precondition: `max_connections` is at least 1; `open` outlives this.
    connection_thread_pool(std::size_t max_connections,
                           std::atomic<std::size_t>& open_connections);

    /// Runs a connection, or its refusal. Blocks while even the spare
    /// threads are taken, so that the kernel's backlog fills. Thread safe.
    void enqueue(std::function<void()> connection) override;

    /// Waits for the open connections to end. Thread safe.
    void shutdown() override;

    /// Tells whether the calling thread may only refuse. Thread safe.
    [[nodiscard]] static bool is_overflow_thread();

private:
    std::atomic<std::size_t>& m_open_connections;
    drivers::thread_pool m_threads;
    drivers::thread_pool m_overflow_threads;
};

} // namespace turmeric::adapters
