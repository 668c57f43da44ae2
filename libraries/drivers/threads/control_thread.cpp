#include "libraries/drivers/threads/control_thread.hpp"

#include <cassert>

namespace turmeric::drivers
{

control_thread::control_thread(std::chrono::milliseconds tick,
                               std::function<void()> on_tick)
    : m_tick(tick)
    , m_on_tick(std::move(on_tick))
{
    assert(m_on_tick && m_tick.count() > 0);
    m_thread = std::thread([this] { run(); });
}

control_thread::~control_thread()
{
    stop();
}

void control_thread::post(std::function<void()> job)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_has_ended)
        {
            m_jobs.push_back(std::move(job));
            m_changed.notify_one();
            return;
        }
    }
    // The control thread no longer uses the state, but jobs of several calling
    // threads must not overlap.
    std::lock_guard<std::mutex> lock(m_late_job_mutex);
    job();
}

void control_thread::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_is_stopping = true;
    }
    m_changed.notify_all();
    std::lock_guard<std::mutex> lock(m_stop_mutex);
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void control_thread::run()
{
    std::chrono::steady_clock::time_point next_tick =
        std::chrono::steady_clock::now() + m_tick;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_is_stopping || !m_jobs.empty())
    {
        m_changed.wait_until(lock, next_tick,
                             [this]
                             { return m_is_stopping || !m_jobs.empty(); });
        while (!m_jobs.empty())
        {
            std::function<void()> job = std::move(m_jobs.front());
            m_jobs.pop_front();
            lock.unlock();
            job();
            job = nullptr;
            lock.lock();
        }
        if (std::chrono::steady_clock::now() >= next_tick)
        {
            lock.unlock();
            m_on_tick();
            lock.lock();
            next_tick = std::chrono::steady_clock::now() + m_tick;
        }
    }
    m_has_ended = true;
}

} // namespace turmeric::drivers
