#pragma once

#include "libraries/codecs/configuration/configuration_messages.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/configuration_replica.hpp"
#include "libraries/drivers/configuration/live_move_states.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/peer.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace turmeric::drivers
{

/// Intervals and timeouts of a follower.
struct follower_timing
{
    /// Maximum duration of one watch, after which a new one replaces it.
    std::chrono::milliseconds watch_timeout{3'000};
    /// Time between reads of `live/`, which find the changes that a failed
    /// watch missed.
    std::chrono::milliseconds poll_interval{2'000};
    /// Delay before a failed watch is replaced.
    std::chrono::milliseconds watch_retry_delay{500};
    /// Time limit for one call to a peer.
    std::chrono::milliseconds peer_timeout{1'000};
};

/// How a follower reaches its peers; without a caller it asks no peer.
struct follower_peers
{
    ports::peer_caller* caller = nullptr;
    /// Returns "host:port" of the peers to ask, in order of preference.
    /// Thread safe.
    std::function<std::vector<std::string>()> addresses;
};

/// Keeps the declared configuration and the move states up to date: by a
/// watch, by polling, and from peers while the platform is unavailable. Runs
/// two threads after `start`.
class configuration_follower
{
public:
    /// Called after the configuration or a move state has changed.
    using listener = std::function<void()>;

    /// Precondition: `store`, `log` and the peers outlive this object.
    configuration_follower(ports::key_value_store& store, logger& log,
                           follower_peers peers, follower_timing timing);
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;
    /// Stops the threads.
    ~configuration_follower();

    /// Sets the listener for changes. It is called on a thread of the follower
    /// or of the caller of `apply_response`. Precondition: not started.
    void set_listener(listener on_change);

    /// Starts the threads. Precondition: not started before.
    void start();

    /// Stops the threads. Waits for a call in progress, which takes at most
    /// `watch_timeout`. Thread safe.
    void stop();

    /// Returns the configuration in force, never null; version 0 means that
    /// there is none yet. Thread safe.
    [[nodiscard]] std::shared_ptr<const domain::configuration> current() const;

    /// Returns the move states by route, never null. Thread safe.
    [[nodiscard]] std::shared_ptr<const live_move_state_map> moves() const;

    /// Returns whether the last read from the platform succeeded. Thread safe.
    [[nodiscard]] bool is_platform_up() const;

    /// Returns the response to a peer's message of the kind "configuration".
    /// Errors: `peer_protocol`. Thread safe.
    result<std::string> serve(const std::string& request);

    /// Returns the request to send to a peer. Thread safe.
    [[nodiscard]] std::string request() const;

    /// Applies a peer's response. Errors: `peer_protocol`, `corrupt_value`.
    /// Thread safe.
    status apply_response(const std::string& response);

    /// Requests heads and parts from one peer until a response changes
    /// nothing. Errors: `peer_unavailable`, `peer_protocol`, `corrupt_value`.
    /// Precondition: there is a peer caller. Thread safe; blocks.
    status pull_from(const std::string& address);

    /// Reads `live/` once, and asks peers if that fails. Called by the poll
    /// thread, or by tests without threads. Thread safe; blocks.
    status poll_once();

    /// Waits for the events of one watch. Called by the watch thread, or by
    /// tests without threads. Thread safe; blocks.
    status watch_once();

private:
    void run_polls();
    void run_watches();
    void process_head(const std::string& text);
    void process_parts(const std::vector<std::string>& texts);
    void fetch_missing_parts();
    void pull_from_peers();
    void report_outcome(const result<bool>& offered);
    void log_platform_change(const status& outcome);
    void notify_listener();
    [[nodiscard]] std::vector<std::string> missing_parts() const;

    ports::key_value_store& m_store;
    logger& m_log;
    follower_peers m_peers;
    follower_timing m_timing;
    listener m_listener;
    stop_signal m_stop;
    std::thread m_poller;
    std::thread m_watcher;
    std::atomic<bool> m_is_platform_up{true};

    mutable std::mutex m_mutex;
    domain::configuration_replica m_replica;
    live_move_states m_move_states;
};

} // namespace turmeric::drivers
