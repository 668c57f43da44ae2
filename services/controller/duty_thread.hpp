#pragma once

#include "libraries/drivers/leadership/leadership.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace turmeric::controller
{

/// Does a duty's work again and again while this controller leads it. Thread
/// safe.
class duty_thread
{
public:
    /// One round of work under a fencing number; asks the leadership again
    /// before each act that takes long to reach.
    using work = std::function<void(const drivers::leadership& leader)>;

    /// Precondition: `leader` outlives this object; `period` is positive.
    duty_thread(const drivers::leadership& leader, work round,
                std::chrono::milliseconds period);
    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;
    /// Ends the thread after the round in progress.
    ~duty_thread();

private:
    void run();

    const drivers::leadership& m_leader;
    work m_round;
    std::chrono::milliseconds m_period;
    drivers::stop_signal m_stop;
    std::thread m_thread;
};

} // namespace turmeric::controller
