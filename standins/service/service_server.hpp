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

/// The faults that the plain service can inject.
struct service_faults
{
    /// Delay before each call is handled.
    std::int64_t delay_ms = 0;
    /// Number of the next calls that get a 500 response and take no effect.
    std::int64_t fail = 0;
    /// Percentage of calls that get a 500 response and take no effect.
    double fail_percent = 0;
    /// Number of the next calls that take effect but whose reply is lost.
    std::int64_t drop_reply_after_effect = 0;
    /// Number of the next calls that are lost before they take effect.
    std::int64_t drop_before_effect = 0;
    /// Whether all responses of a platform upstream say that it is leaving.
    bool is_leaving = false;
    /// Unless negative, a platform upstream turns all requests away and wants
    /// no further ones for so many seconds.
    double pause_seconds = -1;
    /// Unless negative, all responses of a platform upstream say that it is
    /// brittle, with this number.
    std::int64_t brittle = -1;
};

/// A stand-in for a plain service. The effect of a call is that a counter of
/// its request id is incremented. `start` and `shut_down` must be called by one
/// thread; all other functions are thread safe, except where noted.
class service_server
{
public:
    /// Serves up to `threads` connections at the same time.
    explicit service_server(std::size_t threads);

    /// Makes the service respond as an upstream of the users' platform with
    /// this id: calls for another instance are refused, each successful
    /// response has the server stamp and the id of the request, and a call with
    /// a token count gets an event stream. An empty id changes nothing. Not
    /// thread safe; must be called before `start`.
    void act_as_platform_upstream(const std::string& upstream_id);

    ~service_server();
    service_server(const service_server&) = delete;
    service_server& operator=(const service_server&) = delete;

    /// Listens on `port`, or on any free port if it is 0. Returns the bound
    /// port, or nothing if listening failed.
    std::optional<int> start(const std::string& host, int port);

    /// Closes all connections and waits for the handlers. Further calls do
    /// nothing.
    void shut_down();

    /// Sets the faults that `change` names; the others keep their values.
    /// Thread safe.
    status set_faults(const json& change);

    /// Returns the number of calls, effects, failed and dropped calls, and the
    /// effects of each request id. Thread safe.
    json counts();

private:
    void handle_call(const httplib::Request& request, httplib::Response& reply);
    /// Uses up one pending fault of this kind, if any, and returns whether
    /// there was one.
    bool consume_fault(std::int64_t service_faults::*count);
    bool should_fail_at_random();
    json record_effect(const httplib::Request& request);
    /// Adds what a platform upstream says of itself to a response.
    void add_notices(httplib::Response& reply);
    /// Turns a request away if a platform upstream wants none now.
    bool turn_away(httplib::Response& reply);
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
