#pragma once

#include "libraries/fakes/manual_clock.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace turmeric::tests
{

/// A timer queue whose timers fire when the test advances the clock.
class manual_timer_queue final : public ports::timer_queue
{
public:
    explicit manual_timer_queue(fakes::manual_clock& clock)
        : m_clock(clock)
    {
    }

    [[nodiscard]] std::unique_ptr<ports::timer>
    schedule(ports::steady_time at, std::function<void()> action) override
    {
        const std::shared_ptr<entry> made =
            std::make_shared<entry>(entry{at, std::move(action)});
        m_entries.push_back(made);
        return std::make_unique<handle>(made);
    }

    /// Advances the clock and fires the timers that become due, in order of
    /// their times.
    void advance(std::chrono::milliseconds step)
    {
        const ports::steady_time end = m_clock.steady_now() + step;
        while (const std::shared_ptr<entry> next = next_due(end))
        {
            if (next->at > m_clock.steady_now())
            {
                m_clock.advance(next->at - m_clock.steady_now());
            }
            const std::function<void()> action =
                std::exchange(next->action, nullptr);
            action();
        }
        if (end > m_clock.steady_now())
        {
            m_clock.advance(end - m_clock.steady_now());
        }
    }

private:
    struct entry
    {
        ports::steady_time at;
        std::function<void()> action;
    };

    struct handle final : ports::timer
    {
        explicit handle(std::shared_ptr<entry> of)
            : owned(std::move(of))
        {
        }

        ~handle() override
        {
            owned->action = nullptr;
        }

        std::shared_ptr<entry> owned;
    };

    std::shared_ptr<entry> next_due(ports::steady_time end)
    {
        std::erase_if(m_entries, [](const std::shared_ptr<entry>& one)
                      { return one->action == nullptr; });
        std::shared_ptr<entry> best;
        for (const std::shared_ptr<entry>& one : m_entries)
        {
            if (one->at <= end && (best == nullptr || one->at < best->at))
            {
                best = one;
            }
        }
        return best;
    }

    fakes::manual_clock& m_clock;
    std::vector<std::shared_ptr<entry>> m_entries;
};

} // namespace turmeric::tests
