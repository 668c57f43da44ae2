#pragma once

#include "libraries/fakes/manual_clock.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace turmeric::tests
{

/// Runs the events of a simulation in the order of their times. Its clock is
/// always at the time of the event that runs.
class event_queue final : public ports::timer_queue
{
public:
    explicit event_queue(fakes::manual_clock& clock)
        : m_clock(clock)
    {
    }

    [[nodiscard]] std::unique_ptr<ports::timer>
    schedule(ports::steady_time at, std::function<void()> action) override
    {
        const auto alive = std::make_shared<bool>(true);
        run_at(at,
               [alive, action = std::move(action)]
               {
                   if (*alive)
                   {
                       action();
                   }
               });
        return std::make_unique<handle>(alive);
    }

    /// Runs `action` at `at`; it cannot be cancelled.
    void run_at(ports::steady_time at, std::function<void()> action)
    {
        m_events.emplace(std::make_pair(at, ++m_last_number),
                         std::move(action));
    }

    /// Runs `action` after `delay`; it cannot be cancelled.
    void run_after(std::chrono::nanoseconds delay, std::function<void()> action)
    {
        run_at(m_clock.steady_now() + delay, std::move(action));
    }

    /// Runs all events of the next `duration`.
    void run_for(std::chrono::milliseconds duration)
    {
        const ports::steady_time end = m_clock.steady_now() + duration;
        while (!m_events.empty() && m_events.begin()->first.first <= end)
        {
            const auto next = m_events.begin();
            const std::function<void()> action = std::move(next->second);
            advance_to(next->first.first);
            m_events.erase(next);
            action();
        }
        advance_to(end);
    }

private:
    struct handle final : ports::timer
    {
        explicit handle(std::shared_ptr<bool> of)
            : alive(std::move(of))
        {
        }

        ~handle() override
        {
            *alive = false;
        }

        std::shared_ptr<bool> alive;
    };

    void advance_to(ports::steady_time at)
    {
        if (at > m_clock.steady_now())
        {
            m_clock.advance(at - m_clock.steady_now());
        }
    }

    fakes::manual_clock& m_clock;
    std::map<std::pair<ports::steady_time, std::uint64_t>,
             std::function<void()>>
        m_events;
    std::uint64_t m_last_number = 0;
};

} // namespace turmeric::tests
