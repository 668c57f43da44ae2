#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>

namespace turmeric::drivers
{

/// A thread that owns control state. Other threads post jobs to it, which run
/// one after another. Thread safe.
class control_thread
{
public:
    /// Starts the thread, which also calls `on_tick` every `tick`.
    /// Precondition: `on_tick` is set and `tick` is positive.
    control_thread(std::chrono::milliseconds tick,
                   std::function<void()> on_tick);

    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    /// Runs the queued jobs and ends the thread.
    ~control_thread();

    /// Queues a job. A job that is posted after the control thread has ended
    /// runs on the calling thread before this returns. Thread safe.
    void post(std::function<void()> job);

    /// Runs `function` on the control thread and returns its result.
    /// Precondition: not called on the control thread. Thread safe; blocks.
    template <class Function>
    auto run_and_wait(Function function) -> std::invoke_result_t<Function>
    {
        using return_type = std::invoke_result_t<Function>;
        auto task = std::make_shared<std::packaged_task<return_type()>>(
            std::move(function));
        std::future<return_type> future = task->get_future();
        post([task] { (*task)(); });
        return future.get();
    }

    /// Runs the queued jobs, ends the thread and waits for its end. Thread
    /// safe.
    void stop();

private:
    void run();

    const std::chrono::milliseconds m_tick;
    const std::function<void()> m_on_tick;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs;
    bool m_is_stopping = false;
    bool m_has_ended = false;
    std::mutex m_stop_mutex;
    std::mutex m_late_job_mutex;
    std::thread m_thread;
};

} // namespace turmeric::drivers
