#pragma once

#include <cstdint>
#include <functional>
#include <thread>

namespace turmeric::standins
{

/// Calls a function as soon as a peer closes its connection. Thread safe.
class disconnect_watcher
{
public:
    /// Calls `on_disconnect` with the key of a closed connection on a thread of
    /// its own.
    explicit disconnect_watcher(
        std::function<void(std::uint64_t)> on_disconnect);
    ~disconnect_watcher();
    disconnect_watcher(const disconnect_watcher&) = delete;
    disconnect_watcher& operator=(const disconnect_watcher&) = delete;

    /// Watches `socket` until `remove` and reports its disconnect at most once.
    /// Precondition: `socket` is not watched and `key` is not 0.
    void add(int socket, std::uint64_t key);

    /// Stops watching `socket`. A call of `on_disconnect` for it may still be
    /// in progress.
    void remove(int socket);

private:
    void run();

    std::function<void(std::uint64_t)> m_on_disconnect;
    int m_epoll;
    int m_wake_event;
    std::thread m_thread;
};

} // namespace turmeric::standins
