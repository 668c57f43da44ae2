#include "libraries/adapters/asio/one_shot_timer.hpp"

#include <utility>

namespace turmeric::adapters
{

one_shot_timer::one_shot_timer(asio::io_context& loop)
    : m_timer(loop)
{
}

void one_shot_timer::set(std::chrono::milliseconds delay,
                         std::function<void()> action)
{
    set_at(std::chrono::steady_clock::now() + delay, std::move(action));
}

void one_shot_timer::set_at(ports::steady_time at, std::function<void()> action)
{
    m_action = std::make_shared<std::function<void()>>(std::move(action));
    m_timer.expires_at(at);
    const std::weak_ptr<std::function<void()>> weak = m_action;
    m_timer.async_wait(
        [weak](const boost::system::error_code& error_code)
        {
            const std::shared_ptr<std::function<void()>> current = weak.lock();
            if (error_code || current == nullptr)
            {
                return;
            }
            // The action may set or destroy the timer.
            const std::function<void()> due = std::move(*current);
            due();
        });
}

void one_shot_timer::cancel()
{
    m_action.reset();
    m_timer.cancel();
}

} // namespace turmeric::adapters
