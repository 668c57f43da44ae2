#pragma once

#include <cstdint>
#include <functional>
#include <thread>

namespace turmeric::standins
{

/// Tells at once when a peer closes its connection. Thread safe.
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

    /// Watches `socket` until `remove`. Precondition: it is not watched;
    /// `key` is not 0.
    void add(int socket, std::uint64_t key);

    /// Ends the watch; a call of `on_disconnect` may still be under way.
    void remove(int socket);

private:
    void run();

    std::function<void(std::uint64_t)> m_on_disconnect;
    int m_epoll;
    int m_wake_event;
    std::thread m_thread;
};

} // namespace turmeric::standins
