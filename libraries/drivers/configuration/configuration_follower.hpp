#pragma once

#include "libraries/codecs/configuration/peer_exchange.hpp"
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

/// How often a follower asks.
struct follower_timing
{
    /// Age limit of one watch, after which another one replaces it.
    std::chrono::milliseconds watch_timeout{3'000};
    /// Time between reads of `live/`, which find what a dead watch missed.
    std::chrono::milliseconds poll_period{2'000};
    /// Time before a failed watch is replaced.
    std::chrono::milliseconds watch_retry_delay{500};
    /// The longest call to a peer.
    std::chrono::milliseconds peer_timeout{1'000};
};

/// Where a follower finds peers; without a caller it asks none.
struct follower_peers
{
    ports::peer_caller* caller = nullptr;
    /// Returns "host:port" of peers, best first. Thread safe.
    std::function<std::vector<std::string>()> addresses;
};

/// Follows the declared configuration and the move states, by a watch, by
/// polls, and from peers while the platform is out. Two threads once
/// started.
class configuration_follower
{
public:
    /// Called when the configuration or a move state has changed.
    using listener = std::function<void()>;

    /// Precondition: `store`, `log` and the peers outlive this object.
    configuration_follower(ports::key_value_store& store, logger& log,
                           follower_peers peers, follower_timing timing);
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;
    /// Stops the threads.
    ~configuration_follower();

    /// Sets who is told of changes, on a thread of the follower or of the
    /// caller of `offer`. Precondition: not started.
    void set_listener(listener on_change);

    /// Starts the threads. Precondition: not started before.
    void start();

    /// Stops the threads; waits for a call in progress, which `watch_timeout`
    /// bounds. Thread safe.
    void stop();

    /// Returns what is in force, never null; version 0 means none yet.
    /// Thread safe.
    [[nodiscard]] std::shared_ptr<const domain::configuration> current() const;

    /// Returns the move states by route, never null. Thread safe.
    [[nodiscard]] std::shared_ptr<const live_move_state_map> moves() const;

    /// Tells whether the last read of the platform succeeded. Thread safe.
    [[nodiscard]] bool is_platform_up() const;

    /// Answers a peer's message of the kind "configuration". Errors:
    /// `peer_protocol`. Thread safe.
    result<std::string> serve(const std::string& request);

    /// Returns the request to send to a peer. Thread safe.
    [[nodiscard]] std::string request() const;

    /// Takes a peer's answer. Errors: `peer_protocol`, `corrupt_value`.
    /// Thread safe.
    status apply_response(const std::string& response);

    /// Asks one peer until nothing more comes. Errors: `peer_unavailable`,
    /// `peer_protocol`, `corrupt_value`. Precondition: there is a peer
    /// caller. Thread safe; blocks.
    status pull_from(const std::string& address);

    /// Reads `live/` once, and asks peers when that fails. The poll thread
    /// calls it; tests may instead. Thread safe; blocks.
    status poll_once();

    /// Waits on the watch once. The watch thread calls it; tests may
    /// instead. Thread safe; blocks.
    status watch_once();

private:
    void run_polls();
    void run_watches();
    void process_head(const std::string& text);
    void process_parts(const std::vector<std::string>& texts);
    void fetch_missing_parts();
    void pull_from_peers();
    void report_outcome(const result<bool>& offered);
    void record_platform_outcome(const status& outcome);
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
