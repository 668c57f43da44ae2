#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/core/metrics/registry.hpp"
#include "libraries/drivers/requests/request_runner.hpp"
#include "libraries/drivers/responses/response_cache.hpp"
#include "libraries/drivers/threads/thread_pool.hpp"
#include "libraries/ports/clock.hpp"
#include "services/router/configuration_index.hpp"
#include "services/router/response_writer.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace turmeric::router
{

/// What a frontend uses; all of it outlives the frontend and is thread safe.
struct caller_frontend_dependencies
{
    drivers::response_cache& responses;
    drivers::request_runner& runner;
    drivers::thread_pool& request_threads;
    drivers::request_observer& observer;
    const metrics::registry& metrics;
    const ports::clock& clock;
    /// Returns the body of the response to `GET /v1/routers` for a client
    /// account, which may be empty.
    std::function<std::string(const std::string& account)> locate;
    /// Updates the gauges; called before metrics are rendered.
    std::function<void()> refresh_metrics;
    /// Returns why the router is not ready, or nothing if it is ready.
    std::function<std::optional<error>()> find_readiness_error;
    /// Bytes of a prompt that count as one token in a hold.
    std::size_t bytes_per_token = 3;
};

/// Handles callers' HTTP requests: validates a request, starts it on a thread
/// of its own, and passes its response to the connection. Thread safe.
class caller_frontend
{
public:
    /// See `caller_frontend_dependencies`.
    explicit caller_frontend(caller_frontend_dependencies dependencies);

    /// Sets the configuration that new requests are checked against. Thread
    /// safe.
    void set_index(std::shared_ptr<const configuration_index> index);

    /// Refuses all later requests with `router_stopping`. Thread safe.
    void stop_accepting_requests();

    /// Handles one request. Thread safe; blocks until the response, or the
    /// first piece of a streamed one, is available.
    adapters::http_response handle(const adapters::http_request& request);

private:
    using handler = adapters::http_response (caller_frontend::*)(
        const adapters::http_request&);

    struct endpoint
    {
        std::string_view method;
        std::string_view path;
        handler handle;
    };

    static const std::vector<endpoint>& endpoints();

    adapters::http_response show_routers(const adapters::http_request& request);
    adapters::http_response show_health(const adapters::http_request& request);
    adapters::http_response
    show_readiness(const adapters::http_request& request);
    adapters::http_response show_metrics(const adapters::http_request& request);
    adapters::http_response
    complete_chat(const adapters::http_request& request);
    adapters::http_response call_service(const adapters::http_request& request);

    [[nodiscard]] std::shared_ptr<const configuration_index> index() const;
    [[nodiscard]] std::optional<error> find_readiness_error() const;
    adapters::http_response refuse(const error& failure,
                                   const drivers::request_context* request);
    result<response_reader>
    open_response(const drivers::request_context& request);
    void start_request(const drivers::request_context& request,
                       const std::shared_ptr<drivers::response_buffer>& buffer);

    caller_frontend_dependencies m_dependencies;
    mutable std::mutex m_mutex;
    std::shared_ptr<const configuration_index> m_index;
    std::atomic<bool> m_is_stopping{false};
};

} // namespace turmeric::router
