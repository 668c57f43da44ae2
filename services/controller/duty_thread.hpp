#pragma once

#include "libraries/drivers/leadership/leadership.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace turmeric::controller
{

/// Performs the work of a duty periodically while this controller leads the
/// duty. Thread safe.
class duty_thread
{
public:
    /// One round of work. It must check `leader` again before each action that
    /// may come long after the start of the round.
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
