#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/asio_datagram_link.hpp"
#include "libraries/adapters/asio/asio_timer_queue.hpp"
#include "libraries/adapters/asio/caller_server.hpp"
#include "libraries/adapters/asio/one_shot_timer.hpp"
#include "libraries/adapters/asio/upstream_connection_pool.hpp"
#include "libraries/adapters/fmt/buffered_logger.hpp"
#include "libraries/adapters/openssl/sha256_digest.hpp"
#include "libraries/adapters/settings/watched_file.hpp"
#include "libraries/adapters/system/system_clock.hpp"
#include "libraries/adapters/system/system_random.hpp"
#include "libraries/core/metrics/registry.hpp"
#include "libraries/core/result.hpp"
#include "libraries/drivers/exchange/traffic_dispatcher.hpp"
#include "libraries/drivers/exchange/traffic_metrics.hpp"
#include "libraries/drivers/fleet/fleet_control.hpp"
#include "libraries/drivers/platform/counted_asynchronous_store.hpp"
#include "platform/directory_request_handler.hpp"
#include "platform/platform_dialect.hpp"
#include "platform/platform_store.hpp"
#include "services/entry/entry_settings.hpp"
#include "services/entry/internal_request_handler.hpp"
#include "services/entry/thread_link.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace turmeric::entry
{

/// The process of an entry VM. The traffic thread serves callers' requests;
/// the control thread, which calls `run`, maintains the state of the fleet. Not
/// thread safe.
class entry_process
{
public:
    /// Reads the settings again. Returns nothing if they are not valid.
    using settings_reader = std::function<std::optional<entry_settings>()>;

    /// No precondition. `read_settings` is called on SIGHUP, and when
    /// `settings_file` has changed without that signal.
    entry_process(entry_settings settings, settings_reader read_settings,
                  std::string settings_file);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Starts to listen on all addresses. Errors: `settings_invalid` with the
    /// address. Called once, before `run`.
    status open();

    /// Serves until SIGTERM or SIGINT has been received and all responses have
    /// been sent, or the stop timeout is over.
    void run();

    /// Returns the log. Thread safe.
    [[nodiscard]] adapters::buffered_logger& log();

private:
    void await_signal();
    void on_signal(int number);
    void reload();
    void begin_stop();
    void poll_stop();
    void finish_stop();
    void flush_log();
    void watch_settings();
    void request_peer_configuration(const std::string& address,
                                    std::function<void(std::string)> done);

    entry_settings m_settings;
    settings_reader m_read_settings;
    adapters::watched_file m_settings_file;
    adapters::system_clock m_clock;
    adapters::system_random m_random;
    adapters::buffered_logger m_log;
    metrics::registry m_registry;
    drivers::traffic_metrics m_metrics;
    platform::platform_dialect m_dialect;

    /// Used on the traffic thread only, once that runs.
    memory_budget m_memory;
    memory_budget m_readiness_memory;
    memory_budget m_directory_memory;
    memory_budget m_internal_memory;

    adapters::asio::io_context m_control_loop{1};
    adapters::asio::io_context m_traffic_loop{1};
    adapters::asio_timer_queue m_control_timers{m_control_loop};
    adapters::asio_timer_queue m_traffic_timers{m_traffic_loop};
    adapters::upstream_connection_pool m_control_pool{m_control_loop, m_clock};
    adapters::upstream_connection_pool m_traffic_pool{m_traffic_loop, m_clock};
    adapters::sha256_digest m_digest;
    platform::platform_store m_platform_store;
    drivers::counted_asynchronous_store m_store;
    adapters::asio_datagram_link m_peers{m_control_loop};
    thread_link m_link{m_control_loop, m_traffic_loop, m_clock};
    drivers::traffic_dispatcher m_dispatcher;
    drivers::fleet_control m_control;
    adapters::caller_server m_caller_server;
    platform::directory_request_handler m_directory_handler;
    internal_request_handler m_internal_handler;
    adapters::caller_server m_readiness_server;
    adapters::caller_server m_directory_server;
    adapters::caller_server m_internal_server;
    adapters::asio::signal_set m_signals;
    adapters::one_shot_timer m_log_timer{m_control_loop};
    adapters::one_shot_timer m_settings_timer{m_control_loop};
    adapters::one_shot_timer m_stop_timer{m_control_loop};
    ports::steady_time m_stop_started_at{};
    std::thread m_traffic_thread;
};

} // namespace turmeric::entry
