#include "services/router/caller_frontend.hpp"

#include "services/router/request_context_factory.hpp"

#include <chrono>

namespace turmeric::router
{

namespace
{

constexpr int status_ok = 200;
constexpr std::string_view service_prefix = "/services/";

adapters::http_response make_text_response(const std::string& content_type,
                                           std::string body)
{
    adapters::http_response response;
    response.content_type = content_type;
    response.body = std::move(body);
    return response;
}

codecs::response_identity identity_of(const drivers::request_context& request,
                                      ports::system_time now)
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        now.time_since_epoch());
    return {request.request_id, request.route.name, seconds.count()};
}

} // namespace

caller_frontend::caller_frontend(caller_frontend_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void caller_frontend::set_index(
    std::shared_ptr<const configuration_index> index)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_index = std::move(index);
}

void caller_frontend::stop_accepting_requests()
{
    m_is_stopping = true;
}

const std::vector<caller_frontend::endpoint>& caller_frontend::endpoints()
{
    static const std::vector<endpoint> all = {
        {"GET", "/v1/routers", &caller_frontend::show_routers},
        {"GET", "/healthz", &caller_frontend::show_health},
        {"GET", "/readyz", &caller_frontend::show_readiness},
        {"GET", "/metrics", &caller_frontend::show_metrics},
        {"POST", "/v1/chat/completions", &caller_frontend::complete_chat},
    };
    return all;
}

adapters::http_response
caller_frontend::handle(const adapters::http_request& request)
{
    if (request.path.starts_with(service_prefix))
    {
        return call_service(request);
    }
    bool has_path = false;
    for (const endpoint& candidate : endpoints())
    {
        if (candidate.path != request.path)
        {
            continue;
        }
        has_path = true;
        if (candidate.method == request.method)
        {
            return (this->*candidate.handle)(request);
        }
    }
    return adapters::make_problem(
        has_path ? error{result_code::unsupported_method, "method",
                         "the path does not support this method"}
                 : error{result_code::unknown_route, "path",
                         "no endpoint has this path"});
}

adapters::http_response
caller_frontend::show_routers(const adapters::http_request& request)
{
    std::string account;
    std::shared_ptr<const configuration_index> index_in_force = index();
    if (index_in_force != nullptr)
    {
        result<const domain::account_declaration*> found =
            index_in_force->authenticate(request.header("Authorization"));
        account = found ? found.value()->name : "";
    }
    return adapters::make_json_response(status_ok,
                                        m_dependencies.locate(account));
}

adapters::http_response
caller_frontend::show_health(const adapters::http_request& /*request*/)
{
    return make_text_response("text/plain", "ok\n");
}

adapters::http_response
caller_frontend::show_readiness(const adapters::http_request& /*request*/)
{
    std::optional<error> failure = find_readiness_error();
    return failure ? adapters::make_problem(*failure)
                   : make_text_response("text/plain", "ready\n");
}

adapters::http_response
caller_frontend::show_metrics(const adapters::http_request& /*request*/)
{
    m_dependencies.refresh_metrics();
    return make_text_response(metrics::registry::content_type,
                              m_dependencies.metrics.render());
}

adapters::http_response
caller_frontend::complete_chat(const adapters::http_request& http)
{
    std::optional<error> failure = find_readiness_error();
    if (failure)
    {
        return refuse(*failure, nullptr);
    }
    result<drivers::request_context> request = make_chat_request_context(
        http, *index(), m_dependencies.bytes_per_token,
        m_dependencies.clock.steady_now());
    if (!request)
    {
        return refuse(request.failure(), nullptr);
    }
    result<response_reader> response = open_response(request.value());
    if (!response)
    {
        return refuse(response.failure(), &request.value());
    }
    codecs::response_identity id =
        identity_of(request.value(), m_dependencies.clock.system_now());
    return request.value().chat->is_streamed
               ? make_streamed_response(response.value(), id)
               : make_chat_response(response.value(), id);
}

adapters::http_response
caller_frontend::call_service(const adapters::http_request& http)
{
    std::optional<error> failure = find_readiness_error();
    if (failure)
    {
        return refuse(*failure, nullptr);
    }
    result<drivers::request_context> request = make_service_request_context(
        http, *index(), m_dependencies.clock.steady_now());
    if (!request)
    {
        return refuse(request.failure(), nullptr);
    }
    result<response_reader> response = open_response(request.value());
    if (!response)
    {
        return refuse(response.failure(), &request.value());
    }
    return make_service_response(response.value(), request.value().request_id);
}

std::shared_ptr<const configuration_index> caller_frontend::index() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_index;
}

std::optional<error> caller_frontend::find_readiness_error() const
{
    if (m_is_stopping)
    {
        return error{result_code::router_stopping, "router",
                     "the router is stopping", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    std::shared_ptr<const configuration_index> index_in_force = index();
    if (index_in_force == nullptr || index_in_force->version() == 0)
    {
        return error{result_code::router_not_ready, "configuration",
                     "the router has no configuration yet", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    return m_dependencies.find_readiness_error();
}

adapters::http_response
caller_frontend::refuse(const error& failure,
                        const drivers::request_context* request)
{
    drivers::request_summary summary;
    summary.failure = failure;
    static const drivers::request_context unknown_request;
    m_dependencies.observer.on_end(
        request == nullptr ? unknown_request : *request, summary);
    adapters::http_response response = adapters::make_problem(failure);
    if (request != nullptr)
    {
        response.headers.emplace_back("X-Request-Id", request->request_id);
    }
    return response;
}

result<response_reader>
caller_frontend::open_response(const drivers::request_context& request)
{
    result<drivers::opened_response> opened = m_dependencies.responses.open(
        request.account.name, request.request_id, request.body_digest);
    if (!opened)
    {
        return opened.failure();
    }
    std::shared_ptr<drivers::response_buffer> buffer = opened.value().buffer;
    response_reader reader{buffer, buffer->attach_reader()};
    if (opened.value().is_new)
    {
        start_request(request, buffer);
    }
    return reader;
}

void caller_frontend::start_request(
    const drivers::request_context& request,
    const std::shared_ptr<drivers::response_buffer>& buffer)
{
    auto run = [this, request, buffer]
    {
        bool is_retained = m_dependencies.runner.run(request, *buffer);
        m_dependencies.responses.close(request.account.name, request.request_id,
                                       is_retained);
    };
    if (!m_dependencies.request_threads.try_run(std::move(run)))
    {
        buffer->fail(error{result_code::too_many_connections, "threads",
                           "all request threads of this router are in use",
                           outcome::not_run, std::chrono::seconds(1)});
        m_dependencies.responses.close(request.account.name, request.request_id,
                                       false);
    }
}

} // namespace turmeric::router
