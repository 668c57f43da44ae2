#include "standins/engine/disconnect_watcher.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace turmeric::standins
{

namespace
{

/// The key of the event that stops the thread.
constexpr std::uint64_t wake_key = 0;

void add_to_epoll(int epoll, int socket, std::uint32_t events,
                  std::uint64_t key)
{
    epoll_event registration{};
    registration.events = events;
    registration.data.u64 = key;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &registration);
}

} // namespace

disconnect_watcher::disconnect_watcher(
    std::function<void(std::uint64_t)> on_disconnect)
    : m_on_disconnect(std::move(on_disconnect))
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_wake_event(::eventfd(0, EFD_CLOEXEC))
{
    add_to_epoll(m_epoll, m_wake_event, EPOLLIN, wake_key);
    m_thread = std::thread([this] { run(); });
}

disconnect_watcher::~disconnect_watcher()
{
    ::eventfd_write(m_wake_event, 1);
    m_thread.join();
    ::close(m_wake_event);
    ::close(m_epoll);
}

void disconnect_watcher::add(int socket, std::uint64_t key)
{
    add_to_epoll(m_epoll, socket, EPOLLRDHUP | EPOLLONESHOT, key);
}

void disconnect_watcher::remove(int socket)
{
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
}

void disconnect_watcher::run()
{
    constexpr int max_events = 64;
    std::array<epoll_event, max_events> events{};
    for (;;)
    {
        const int ready = ::epoll_wait(m_epoll, events.data(), max_events, -1);
        for (int index = 0; index < ready; ++index)
        {
            const std::uint64_t key =
                events.at(static_cast<std::size_t>(index)).data.u64;
            if (key == wake_key)
            {
                return;
            }
            m_on_disconnect(key);
        }
    }
}

} // namespace turmeric::standins
