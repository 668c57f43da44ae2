#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace turmeric::drivers
{

/// Runs jobs on threads that are made when needed, up to a bound, and end
/// after a while without work. Thread safe.
class thread_pool
{
public:
    /// Precondition: `max_threads` is at least 1.
    explicit thread_pool(std::size_t max_threads);

    thread_pool(const thread_pool&) = delete;
    thread_pool& operator=(const thread_pool&) = delete;

    /// Runs what is queued, then ends all threads.
    ~thread_pool();

    /// Runs `job` on a thread, unless all threads are busy: then returns
    /// false and does nothing. Thread safe.
    bool try_run(std::function<void()> job);

    /// Waits for the jobs at hand and ends all threads. Jobs given later are
    /// refused. Thread safe.
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
