#pragma once

#include <cstdint>
#include <functional>
#include <thread>

namespace turmeric::standins
{

/// Tells at once when a peer closes its connection. Thread safe.
class close_watcher
{
public:
    /// Calls `on_close` with the key of a closed connection on a thread of
    /// its own.
    explicit close_watcher(std::function<void(std::uint64_t)> on_close);
    ~close_watcher();
    close_watcher(const close_watcher&) = delete;
    close_watcher& operator=(const close_watcher&) = delete;

    /// Watches `socket` until `remove`. Precondition: it is not watched;
    /// `key` is not 0.
    void add(int socket, std::uint64_t key);

    /// Ends the watch; a call of `on_close` may still be under way.
    void remove(int socket);

private:
    void run();

    std::function<void(std::uint64_t)> m_on_close;
    int m_epoll;
    int m_wake;
    std::thread m_thread;
};

} // namespace turmeric::standins
