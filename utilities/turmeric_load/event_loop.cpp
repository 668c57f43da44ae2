#include "utilities/turmeric_load/event_loop.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace turmeric::load
{

namespace
{

epoll_event make_event(bool wants_read, bool wants_write,
                       event_handler& handler)
{
    epoll_event wanted{};
    wanted.events = (wants_read ? std::uint32_t{EPOLLIN} : 0U) |
                    (wants_write ? std::uint32_t{EPOLLOUT} : 0U);
    wanted.data.ptr = &handler;
    return wanted;
}

} // namespace

event_loop::event_loop()
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
}

event_loop::~event_loop()
{
    ::close(m_epoll);
}

void event_loop::watch(int socket, bool wants_write, event_handler& handler)
{
    epoll_event wanted = make_event(true, wants_write, handler);
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &wanted);
}

void event_loop::change(int socket, bool wants_read, bool wants_write,
                        event_handler& handler)
{
    epoll_event wanted = make_event(wants_read, wants_write, handler);
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &wanted);
}

void event_loop::set_timer(event_handler& handler, loop_time due)
{
    clear_timer(handler);
    m_timers.emplace(due, &handler);
    m_due[&handler] = due;
}

void event_loop::clear_timer(event_handler& handler)
{
    const auto found = m_due.find(&handler);
    if (found != m_due.end())
    {
        m_timers.erase({found->second, &handler});
        m_due.erase(found);
    }
}

void event_loop::run_once(std::chrono::milliseconds most)
{
    using std::chrono::milliseconds;
    constexpr std::size_t most_events = 256;
    std::array<epoll_event, most_events> events{};
    milliseconds wait = most;
    if (!m_timers.empty())
    {
        const milliseconds left = std::chrono::ceil<milliseconds>(
            m_timers.begin()->first - std::chrono::steady_clock::now());
        wait = std::clamp(left, milliseconds(0), most);
    }
    const int ready =
        ::epoll_wait(m_epoll, events.data(), static_cast<int>(most_events),
                     static_cast<int>(wait.count()));
    const loop_time now = std::chrono::steady_clock::now();
    for (int index = 0; index < ready; ++index)
    {
        const epoll_event& event = events.at(static_cast<std::size_t>(index));
        static_cast<event_handler*>(event.data.ptr)->on_socket(now);
    }
    run_timers(now);
}

void event_loop::run_timers(loop_time now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        event_handler* const handler = m_timers.begin()->second;
        clear_timer(*handler);
        handler->on_timer(now);
    }
}

} // namespace turmeric::load
