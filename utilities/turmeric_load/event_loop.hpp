#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

namespace turmeric::load
{

using loop_time = std::chrono::steady_clock::time_point;

/// Handles the events of one socket and one timer. Not thread safe.
class event_handler
{
public:
    event_handler() = default;
    event_handler(const event_handler&) = delete;
    event_handler& operator=(const event_handler&) = delete;
    virtual ~event_handler() = default;

    /// Called when the socket is readable or writable, or has an error.
    virtual void on_socket(loop_time now) = 0;

    /// Called when the timer set by `event_loop::set_timer` expires.
    virtual void on_timer(loop_time now) = 0;
};

/// Dispatches socket and timer events on the calling thread. Not thread
/// safe.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Starts to watch a socket for reading, and for writing if
    /// `wants_write`. Precondition: it is not watched.
    void watch(int socket, bool wants_write, event_handler& handler);

    /// Changes the events that a socket is watched for. Precondition: the
    /// socket is watched.
    void set_interest(int socket, bool wants_read, bool wants_write,
                      event_handler& handler);

    /// Sets a handler's timer, replacing an earlier one.
    void set_timer(event_handler& handler, loop_time due);

    /// Clears a handler's timer if one is set.
    void clear_timer(event_handler& handler);

    /// Waits up to `max_wait` for events and calls their handlers.
    void run_once(std::chrono::milliseconds max_wait);

private:
    void run_timers(loop_time now);

    int m_epoll;
    std::set<std::pair<loop_time, event_handler*>> m_timers;
    std::unordered_map<event_handler*, loop_time> m_due_times;
};

} // namespace turmeric::load
