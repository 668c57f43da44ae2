#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace turmeric::drivers
{

/// How a prefix of the store is followed.
struct follower_settings
{
    std::string prefix;
    /// How long one watch waits; a watch that says nothing for longer than
    /// this and the store's time-out is replaced.
    std::chrono::milliseconds watch_wait{1'000};
    /// How long keys that vanished stay known after the store was away:
    /// their writers bring them back if they live.
    std::chrono::milliseconds deletion_grace{0};
};

/// The keys under a prefix, as they were last read.
using followed_items = std::map<std::string, ports::key_value>;

/// Keeps a copy of the keys under one prefix: reads them once and then
/// watches; reads them again when the store has dropped its history or a
/// watch failed. Used on the thread of the store only.
class prefix_follower
{
public:
    /// Precondition: all but `settings` outlive the follower.
    prefix_follower(ports::asynchronous_store& store,
                    ports::timer_queue& timers, const ports::clock& clock,
                    logger& log, follower_settings settings);
    ~prefix_follower();
    prefix_follower(const prefix_follower&) = delete;
    prefix_follower& operator=(const prefix_follower&) = delete;

    /// Starts to follow; `changed` is called after each change and once
    /// after the first read. Called once.
    void start(std::function<void(const followed_items&)> changed);

    /// Tells whether the prefix was ever read.
    [[nodiscard]] bool has_read() const;

    /// Tells since when the store has not been heard of; nothing while it
    /// answers.
    [[nodiscard]] std::optional<ports::steady_time> unavailable_since() const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace turmeric::drivers
