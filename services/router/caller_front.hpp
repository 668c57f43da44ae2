#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/core/metrics/registry.hpp"
#include "libraries/drivers/answers/response_cache.hpp"
#include "libraries/drivers/requests/request_runner.hpp"
#include "libraries/drivers/threads/thread_pool.hpp"
#include "libraries/ports/clock.hpp"
#include "services/router/answer_writer.hpp"
#include "services/router/caller_directory.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace turmeric::router
{

/// What the front needs; all outlive it and are thread safe.
struct front_parts
{
    drivers::response_cache& answers;
    drivers::request_runner& runner;
    drivers::thread_pool& runs;
    drivers::request_observer& observer;
    const metrics::registry& metrics;
    const ports::clock& clock;
    /// Answers `GET /v1/routers` for a client account, which may be empty.
    std::function<std::string(const std::string& account)> locate;
    /// Refreshes gauges before they are rendered.
    std::function<void()> refresh_metrics;
    /// Says why the router is not ready, if it is not.
    std::function<std::optional<error>()> find_fault;
    std::size_t bytes_per_token = 3;
};

/// Answers callers: finds what a request asks for, starts its run, and hands
/// its answer to the connection. Thread safe.
class caller_front
{
public:
    /// See `front_parts`.
    explicit caller_front(front_parts parts);

    /// Puts a configuration in force. Thread safe.
    void set_directory(std::shared_ptr<const caller_directory> directory);

    /// From now on refuses requests with `router_stopping`. Thread safe.
    void stop_taking_requests();

    /// Answers one request. Thread safe; blocks until the answer, or its
    /// first piece, is there.
    adapters::http_reply handle(const adapters::http_request& request);

private:
    using handler =
        adapters::http_reply (caller_front::*)(const adapters::http_request&);

    struct path_row
    {
        std::string_view method;
        std::string_view path;
        handler handle;
    };

    static const std::vector<path_row>& path_table();

    adapters::http_reply show_routers(const adapters::http_request& request);
    adapters::http_reply show_health(const adapters::http_request& request);
    adapters::http_reply show_readiness(const adapters::http_request& request);
    adapters::http_reply show_metrics(const adapters::http_request& request);
    adapters::http_reply complete_chat(const adapters::http_request& request);
    adapters::http_reply call_service(const adapters::http_request& request);

    [[nodiscard]] std::shared_ptr<const caller_directory> directory() const;
    [[nodiscard]] std::optional<error> find_refusal() const;
    adapters::http_reply refuse(const error& failure,
                                const drivers::request_context* request);
    result<answer_reader> open_answer(const drivers::request_context& request);
    void start_run(const drivers::request_context& request,
                   const std::shared_ptr<drivers::response_buffer>& buffer);

    front_parts m_parts;
    mutable std::mutex m_mutex;
    std::shared_ptr<const caller_directory> m_directory;
    std::atomic<bool> m_is_stopping{false};
};

} // namespace turmeric::router
