#pragma once

#include "libraries/core/json.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/clock.hpp"
#include "standins/common/http_server.hpp"
#include "standins/key_value/key_value_faults.hpp"
#include "standins/key_value/key_value_state.hpp"
#include "standins/key_value/platform_api.hpp"
#include "standins/key_value/rate_limiter.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace turmeric::standins
{

/// Options of the key-value stand-in.
struct key_value_server_options
{
    /// Connections served at the same time; a waiting watch occupies one.
    std::size_t threads = 512;
    /// Changes kept for watches that start at an earlier revision.
    std::size_t max_history_events = 100'000;
    key_value_faults faults;
};

/// The kinds of gateway calls that are counted.
enum class key_value_call_kind : std::uint8_t
{
    range,
    txn,
    lease_grant,
    lease_keepalive,
    lease_revoke,
    watch,
};

/// A stand-in for the platform's key-value service over HTTP: the JSON gateway
/// of etcd v3 and the API of the users' platform on the same keys. `start` and
/// `shut_down` must be called by one thread; all other functions are thread
/// safe.
class key_value_server
{
public:
    /// Precondition: `clock` outlives the server.
    key_value_server(const ports::clock& clock,
                     const key_value_server_options& options);
    ~key_value_server();
    key_value_server(const key_value_server&) = delete;
    key_value_server& operator=(const key_value_server&) = delete;

    /// Listens on `port`, or on any free port if it is 0. Returns the bound
    /// port, or nothing if listening failed.
    std::optional<int> start(const std::string& host, int port);

    /// Closes all connections and waits for the handlers. Further calls do
    /// nothing.
    void shut_down();

    /// Sets the faults that `change` names; the others keep their values.
    /// Thread safe.
    status set_faults(const json& change);

    /// Returns the calls by kind, the refused and dropped calls, the waiting
    /// watches, the bytes transferred, the number of keys and the revision.
    /// Thread safe.
    json counts();

private:
    /// Whether a call continues after the faults were applied.
    enum class fault_outcome
    {
        proceed,
        /// A fault dropped or refused the call.
        handled,
    };

    using body_handler = void (key_value_server::*)(const json& body,
                                                    httplib::Response& reply);

    struct call_endpoint
    {
        const char* path;
        key_value_call_kind kind;
        const char* name;
        bool is_write;
        body_handler handler;
    };

    struct watch_state;

    static constexpr std::size_t call_kind_count = 6;
    static const std::array<call_endpoint, call_kind_count>& endpoints();

    void register_handlers();
    void handle_call(const call_endpoint& endpoint,
                     const httplib::Request& request, httplib::Response& reply);
    fault_outcome apply_faults(bool is_write, httplib::Response& reply);
    [[nodiscard]] platform_api_faults make_platform_api_faults();
    bool is_within_rate(bool is_write);
    /// Uses up one pending fault of this kind, if any: counts it, drops the
    /// connection and returns true.
    bool consume_drop_fault(std::int64_t key_value_faults::*count);
    [[nodiscard]] key_value_faults faults();

    void on_range(const json& body, httplib::Response& reply);
    void on_transaction(const json& body, httplib::Response& reply);
    void on_lease_grant(const json& body, httplib::Response& reply);
    void on_lease_keepalive(const json& body, httplib::Response& reply);
    void on_lease_revoke(const json& body, httplib::Response& reply);
    void on_watch(const json& body, httplib::Response& reply);
    bool write_watch_events(watch_state& watch, httplib::DataSink& sink);

    const ports::clock& m_clock;
    key_value_state m_state;
    platform_api m_platform_api;
    http_server m_http;
    drivers::stop_signal m_stop;

    std::mutex m_mutex;
    key_value_faults m_faults;
    rate_limiter m_write_limiter;
    rate_limiter m_read_limiter;

    std::array<std::atomic<std::int64_t>, call_kind_count> m_calls{};
    std::atomic<std::int64_t> m_rate_limited{0};
    std::atomic<std::int64_t> m_refused_by_outage{0};
    std::atomic<std::int64_t> m_too_large{0};
    std::atomic<std::int64_t> m_replies_dropped{0};
    std::atomic<std::int64_t> m_waiting_watches{0};
    bool m_is_running = false;
};

} // namespace turmeric::standins
