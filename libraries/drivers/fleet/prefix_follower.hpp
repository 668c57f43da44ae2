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

/// The prefix to follow and its time limits.
struct follower_settings
{
    std::string prefix;
    /// How long the store waits for a change before it ends a watch without
    /// one. A watch that has had no response for longer than this time plus
    /// the store's timeout is replaced.
    std::chrono::milliseconds watch_wait{1'000};
    /// How long deleted keys are still kept after a store outage ended or the
    /// store was restored. Their leases may have expired during the outage, or
    /// the copy may lack them, and writers that still run write them again.
    std::chrono::milliseconds deletion_grace{0};
    /// Returns since when the store is known to have been available up to the
    /// time that it is called with; that time itself if nothing is known. Keys
    /// that were deleted while the store served others are not kept. May be
    /// empty.
    std::function<ports::steady_time(ports::steady_time)> available_since =
        nullptr;
    /// While the store does not respond, reads begin at least this often, so
    /// that the end of the outage is known soon; 0 if only a read that has
    /// failed is followed by another.
    std::chrono::milliseconds outage_read_interval{0};
};

/// The entries under a prefix, by key, as they were last read.
using followed_items = std::map<std::string, ports::key_value>;

/// Maintains a copy of the keys under one prefix. It reads them once and then
/// watches for changes; it reads them again if a watch fails, the store has
/// compacted the history that the watch needs, or the store was restored: its
/// revisions may have passed the one that the watch waits after, so that the
/// watch would never report what changed before. Used on the thread of the
/// store only.
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

    /// Starts to follow the prefix. `changed` is called after each read of the
    /// prefix and after each change. Called once.
    void start(std::function<void(const followed_items&)> changed);

    /// Returns whether the prefix has been read at least once.
    [[nodiscard]] bool has_read() const;

    /// Returns when the first call of the present outage failed; nothing while
    /// the store responds.
    [[nodiscard]] std::optional<ports::steady_time> unavailable_since() const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace turmeric::drivers
