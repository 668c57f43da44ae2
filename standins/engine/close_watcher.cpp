#include "standins/engine/close_watcher.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace turmeric::standins
{

namespace
{

/// The key of the event that ends the thread.
constexpr std::uint64_t wake_key = 0;

void add_to(int epoll, int socket, std::uint32_t events, std::uint64_t key)
{
    epoll_event wanted{};
    wanted.events = events;
    wanted.data.u64 = key;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &wanted);
}

} // namespace

close_watcher::close_watcher(std::function<void(std::uint64_t)> on_close)
    : m_on_close(std::move(on_close))
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_wake(::eventfd(0, EFD_CLOEXEC))
{
    add_to(m_epoll, m_wake, EPOLLIN, wake_key);
    m_thread = std::thread([this] { run(); });
}

close_watcher::~close_watcher()
{
    ::eventfd_write(m_wake, 1);
    m_thread.join();
    ::close(m_wake);
    ::close(m_epoll);
}

void close_watcher::add(int socket, std::uint64_t key)
{
    add_to(m_epoll, socket, EPOLLRDHUP | EPOLLONESHOT, key);
}

void close_watcher::remove(int socket)
{
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
}

void close_watcher::run()
{
    constexpr int most_events = 64;
    std::array<epoll_event, most_events> events{};
    for (;;)
    {
        const int ready = ::epoll_wait(m_epoll, events.data(), most_events, -1);
        for (int index = 0; index < ready; ++index)
        {
            const std::uint64_t key =
                events.at(static_cast<std::size_t>(index)).data.u64;
            if (key == wake_key)
            {
                return;
            }
            m_on_close(key);
        }
    }
}

} // namespace turmeric::standins
