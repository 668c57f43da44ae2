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
    epoll_event event{};
    event.events = (wants_read ? std::uint32_t{EPOLLIN} : 0U) |
                   (wants_write ? std::uint32_t{EPOLLOUT} : 0U);
    event.data.ptr = &handler;
    return event;
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
    epoll_event event = make_event(true, wants_write, handler);
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
}

void event_loop::set_interest(int socket, bool wants_read, bool wants_write,
                              event_handler& handler)
{
    epoll_event event = make_event(wants_read, wants_write, handler);
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &event);
}

void event_loop::set_timer(event_handler& handler, loop_time due)
{
    clear_timer(handler);
    m_timers.emplace(due, &handler);
    m_due_times[&handler] = due;
}

void event_loop::clear_timer(event_handler& handler)
{
    const auto found = m_due_times.find(&handler);
    if (found != m_due_times.end())
    {
        m_timers.erase({found->second, &handler});
        m_due_times.erase(found);
    }
}

void event_loop::run_once(std::chrono::milliseconds max_wait)
{
    using std::chrono::milliseconds;
    constexpr std::size_t max_events = 256;
    std::array<epoll_event, max_events> events{};
    milliseconds wait = max_wait;
    if (!m_timers.empty())
    {
        const milliseconds until_next_timer = std::chrono::ceil<milliseconds>(
            m_timers.begin()->first - std::chrono::steady_clock::now());
        wait = std::clamp(until_next_timer, milliseconds(0), max_wait);
    }
    const int event_count =
        ::epoll_wait(m_epoll, events.data(), static_cast<int>(max_events),
                     static_cast<int>(wait.count()));
    const loop_time now = std::chrono::steady_clock::now();
    for (int index = 0; index < event_count; ++index)
    {
        const epoll_event& ready = events.at(static_cast<std::size_t>(index));
        static_cast<event_handler*>(ready.data.ptr)->on_socket(now);
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
