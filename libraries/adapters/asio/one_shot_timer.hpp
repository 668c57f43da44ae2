#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/ports/clock.hpp"

#include <functional>
#include <memory>

namespace turmeric::adapters
{

/// A timer on an event loop that calls its action once. After `cancel`, a new
/// `set` or its destruction the earlier action is not called, even if the timer
/// had expired before and its handler waits in the queue of the loop; a plain
/// Asio timer calls such a handler without an error. Used on the thread of its
/// loop only.
class one_shot_timer final
{
public:
    /// Precondition: `loop` outlives the timer.
    explicit one_shot_timer(asio::io_context& loop);
    ~one_shot_timer() = default;
    one_shot_timer(const one_shot_timer&) = delete;
    one_shot_timer& operator=(const one_shot_timer&) = delete;

    /// Calls `action` after `delay`, in place of an earlier action.
    /// Precondition: `action` is not empty.
    void set(std::chrono::milliseconds delay, std::function<void()> action);

    /// Calls `action` at `at`, in place of an earlier action. Precondition:
    /// `action` is not empty.
    void set_at(ports::steady_time at, std::function<void()> action);

    /// Drops the action that was set, if it was not called yet.
    void cancel();

private:
    asio::steady_timer m_timer;
    /// The handler in the loop refers to it weakly, so that it finds nothing
    /// once the action was dropped or replaced.
    std::shared_ptr<std::function<void()>> m_action;
};

} // namespace turmeric::adapters
