#include "libraries/adapters/asio/asio_timer_queue.hpp"

#include "libraries/adapters/asio/one_shot_timer.hpp"

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
        : m_timer(loop)
    {
        m_timer.set_at(at, std::move(action));
    }

private:
    one_shot_timer m_timer;
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
