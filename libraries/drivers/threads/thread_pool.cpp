#include "libraries/drivers/threads/thread_pool.hpp"

#include <cassert>
#include <chrono>
#include <pthread.h>

namespace turmeric::drivers
{

namespace
{

// Small, since thousands of threads can exist at a time, one for each open
// stream.
constexpr std::size_t stack_bytes = std::size_t{512} * 1024;
constexpr std::chrono::seconds idle_timeout{10};

} // namespace

thread_pool::thread_pool(std::size_t max_threads)
    : m_max_threads(max_threads)
{
    assert(max_threads > 0);
}

thread_pool::~thread_pool()
{
    shut_down();
}

bool thread_pool::try_run(std::function<void()> job)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_is_stopping)
    {
        return false;
    }
    // An idle thread is already waking up for each queued job.
    if (m_idle_count <= m_jobs.size() && !start_thread())
    {
        return false;
    }
    m_jobs.push_back(std::move(job));
    m_job_available.notify_one();
    return true;
}

void thread_pool::shut_down()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_is_stopping = true;
    m_job_available.notify_all();
    m_thread_ended.wait(lock, [this] { return m_thread_count == 0; });
}

bool thread_pool::start_thread()
{
    if (m_thread_count >= m_max_threads)
    {
        return false;
    }
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_t thread{};
    bool is_started =
        pthread_create(&thread, &attributes, &run_thread, this) == 0;
    pthread_attr_destroy(&attributes);
    if (is_started)
    {
        ++m_thread_count;
        // A new thread counts as idle until it starts its first job.
        ++m_idle_count;
    }
    return is_started;
}

void* thread_pool::run_thread(void* pool)
{
    static_cast<thread_pool*>(pool)->run_jobs();
    return nullptr;
}

void thread_pool::run_jobs()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true)
    {
        m_job_available.wait_for(lock, idle_timeout,
                                 [this]
                                 { return m_is_stopping || !m_jobs.empty(); });
        if (m_jobs.empty())
        {
            break;
        }
        std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        --m_idle_count;
        lock.unlock();
        job();
        job = nullptr;
        lock.lock();
        ++m_idle_count;
    }
    --m_idle_count;
    --m_thread_count;
    m_thread_ended.notify_all();
}

} // namespace turmeric::drivers
