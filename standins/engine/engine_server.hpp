#pragma once

#include "standins/common/http_server.hpp"
#include "standins/engine/chat_request.hpp"
#include "standins/engine/engine.hpp"
#include "standins/engine/order_handler.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace turmeric::standins
{

/// Options of the engine stand-in.
struct engine_server_options
{
    engine_options engine;
    /// Maximum number of connections served at the same time.
    std::size_t threads = 1'200;
    /// The versions served at the start; orders change them.
    std::set<std::string> versions{"v1"};
    /// Whether orders with an outdated fencing number are refused.
    bool enforces_fencing = false;
};

/// A stand-in for a model engine over HTTP. Call `start` and `shut_down` from
/// one thread; all other functions are thread safe.
class engine_server
{
public:
    /// Precondition: `clock` outlives the server.
    engine_server(const ports::clock& clock,
                  const engine_server_options& options);
    ~engine_server();
    engine_server(const engine_server&) = delete;
    engine_server& operator=(const engine_server&) = delete;

    /// Starts to serve on `host` and `port`. Port 0 selects any free port.
    /// Returns the bound port, or nothing if the server cannot listen.
    std::optional<int> start(const std::string& host, int port);

    /// Closes all connections and waits for the handlers to return. Does
    /// nothing if the server is not running.
    void shut_down();

    /// Sets the faults that `change` names and keeps the others. An error names
    /// the field.
    status set_faults(const json& change);

    /// Returns the counts, with those of each request id if `has_request_ids`.
    json counts(bool has_request_ids);

private:
    struct active_request;

    void register_handlers();
    void on_chat(const httplib::Request& request, httplib::Response& reply);
    void on_order(const httplib::Request& request, httplib::Response& reply);
    json faults_to_json();
    void on_health(httplib::Response& reply);
    void on_metrics(httplib::Response& reply);
    void on_models(httplib::Response& reply);
    std::shared_ptr<active_request> prepare(const chat_request& chat,
                                            const request_faults& faults,
                                            const std::string& id,
                                            std::int64_t offset);
    void respond_complete(active_request& active, httplib::Response& reply);
    void respond_streamed(std::shared_ptr<active_request> active,
                          httplib::Response& reply);
    request_faults record_request(const std::string& id,
                                  const std::string& version);
    bool should_fail_at_random(const request_faults& faults);

    engine m_engine;
    order_handler m_order_handler;
    http_server m_http;

    std::mutex m_mutex;
    engine_faults m_faults;
    std::map<std::string, std::int64_t> m_request_ids;
    std::map<std::string, std::int64_t> m_requests_by_version;
    std::int64_t m_accepted_while_leaving = 0;
    std::uint64_t m_failure_draws = 0;

    std::atomic<std::int64_t> m_requests{0};
    std::atomic<std::int64_t> m_failed{0};
    bool m_is_running = false;
};

} // namespace turmeric::standins
