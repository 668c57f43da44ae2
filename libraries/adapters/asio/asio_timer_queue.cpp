#include "libraries/adapters/asio/asio_timer_queue.hpp"

#include <utility>

namespace turmeric::adapters
{

namespace
{

class asio_timer final : public ports::timer
{
public:
    asio_timer(asio::io_context& loop, ports::steady_time at,
               std::function<void()> action)
        : m_timer(loop, at)
        , m_lifetime(std::make_shared<bool>(true))
    {
        // The handler of an expired timer can already be queued when the timer
        // is destroyed. Cancelling does not remove it from the queue, so the
        // handler also checks that this object still exists.
        const std::weak_ptr<bool> lifetime = m_lifetime;
        m_timer.async_wait(
            [lifetime, action = std::move(action)](
                const boost::system::error_code& error_code)
            {
                if (!error_code && !lifetime.expired())
                {
                    action();
                }
            });
    }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_lifetime;
};

} // namespace

asio_timer_queue::asio_timer_queue(asio::io_context& loop)
    : m_loop(loop)
{
}

std::unique_ptr<ports::timer>
asio_timer_queue::schedule(ports::steady_time at, std::function<void()> action)
{
    return std::make_unique<asio_timer>(m_loop, at, std::move(action));
}

} // namespace turmeric::adapters
