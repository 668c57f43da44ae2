#include "libraries/drivers/threads/stop_signal.hpp"

namespace turmeric::drivers
{

void stop_signal::request_stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_is_stopping = true;
    }
    m_changed.notify_all();
}

bool stop_signal::is_stopping() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_is_stopping;
}

bool stop_signal::sleep_for(std::chrono::milliseconds duration)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_for(lock, duration,
                               [this] { return m_is_stopping; });
}

} // namespace turmeric::drivers
