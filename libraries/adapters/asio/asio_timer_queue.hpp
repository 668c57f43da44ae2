#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/ports/timer_queue.hpp"

namespace turmeric::adapters
{

/// Schedules timers on an event loop. Used on the thread of that loop only.
class asio_timer_queue final : public ports::timer_queue
{
public:
    /// Precondition: `loop` outlives the queue and its timers.
    explicit asio_timer_queue(asio::io_context& loop);

    [[nodiscard]] std::unique_ptr<ports::timer>
    schedule(ports::steady_time at, std::function<void()> action) override;

private:
    asio::io_context& m_loop;
};

} // namespace turmeric::adapters
