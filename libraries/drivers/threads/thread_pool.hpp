#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace turmeric::drivers
{

/// Runs jobs on threads. The pool starts a thread when a job has no idle
/// thread, up to a maximum; a thread ends after an idle timeout. Thread
/// safe.
class thread_pool
{
public:
    /// Creates a pool without threads. Precondition: `max_threads` is at
    /// least 1.
    explicit thread_pool(std::size_t max_threads);

    thread_pool(const thread_pool&) = delete;
    thread_pool& operator=(const thread_pool&) = delete;

    /// Runs the queued jobs, then ends all threads.
    ~thread_pool();

    /// Runs `job` on a thread and returns true. Does nothing and returns false
    /// when all threads are busy and no further one can be started, or after
    /// `shut_down`. Thread safe.
    bool try_run(std::function<void()> job);

    /// Refuses further jobs, waits for the queued and running ones and ends all
    /// threads. Thread safe.
    void shut_down();

private:
    static void* run_thread(void* pool);
    void run_jobs();
    bool start_thread();

    const std::size_t m_max_threads;
    std::mutex m_mutex;
    std::condition_variable m_job_available;
    std::condition_variable m_thread_ended;
    std::deque<std::function<void()>> m_jobs;
    std::size_t m_thread_count = 0;
    std::size_t m_idle_count = 0;
    bool m_is_stopping = false;
};

} // namespace turmeric::drivers
