#pragma once

#include "libraries/drivers/threads/stop_signal.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/switches.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace turmeric::standins
{

/// The faults that the plain service can show.
struct service_faults
{
    /// Each call waits this long first.
    std::int64_t delay_ms = 0;
    /// The next calls that are answered 500 without an effect.
    std::int64_t fail = 0;
    /// The share of calls answered 500 without an effect.
    double fail_percent = 0;
    /// The next calls that take effect but lose their reply.
    std::int64_t drop_reply_after_effect = 0;
    /// The next calls that are lost before they take effect.
    std::int64_t drop_before_effect = 0;
};

/// A stand-in for a plain service, whose effect is a count for each request
/// id. `start` and `shut_down` belong to one thread, all else is thread safe.
class service_server
{
public:
    /// Serves up to `threads` connections at a time.
    explicit service_server(std::size_t threads);

    /// Answers as upstreams of the users' platform do, under this id: signed,
    /// with the request's id, as a stream of events where tokens are asked
    /// for. Called before `start`.
    void act_as_platform_upstream(const std::string& upstream_id);

    ~service_server();
    service_server(const service_server&) = delete;
    service_server& operator=(const service_server&) = delete;

    /// Serves on `port`, 0 for any; returns the bound port or nothing.
    std::optional<int> start(const std::string& host, int port);

    /// Closes all connections and waits for the handlers. May be called
    /// twice.
    void shut_down();

    /// Changes the faults that `change` names.
    status set_faults(const json& change);

    /// Returns calls, effects and the effects of each request id.
    json counts();

private:
    void handle_call(const httplib::Request& request, httplib::Response& reply);
    bool consume_fault(std::int64_t service_faults::*count);
    bool should_fail_at_random();
    json record_effect(const httplib::Request& request);
    void apply_platform_protocol(const httplib::Request& request,
                                 httplib::Response& reply);
    static void stream_events(const httplib::Request& request,
                              httplib::Response& reply);
    json faults_to_json();

    http_server m_http;
    drivers::stop_signal m_stop;
    std::mutex m_mutex;
    service_faults m_faults;
    std::map<std::string, std::int64_t> m_effects_by_id;
    std::string m_upstream_id;
    std::int64_t m_calls = 0;
    std::int64_t m_effects = 0;
    std::int64_t m_failed = 0;
    std::int64_t m_dropped = 0;
    bool m_is_running = false;
};

} // namespace turmeric::standins
