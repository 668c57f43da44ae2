#include "services/router/caller_front.hpp"

#include "services/router/request_intake.hpp"

#include <chrono>

namespace turmeric::router
{

namespace
{

constexpr int status_ok = 200;
constexpr std::string_view service_prefix = "/services/";

adapters::http_reply make_text_reply(const std::string& content_type,
                                     std::string body)
{
    adapters::http_reply reply;
    reply.content_type = content_type;
    reply.body = std::move(body);
    return reply;
}

codecs::response_identity identity_of(const drivers::request_context& request,
                                      ports::system_time now)
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        now.time_since_epoch());
    return {request.request_id, request.route.name, seconds.count()};
}

} // namespace

caller_front::caller_front(front_parts parts)
    : m_parts(std::move(parts))
{
}

void caller_front::set_directory(
    std::shared_ptr<const caller_directory> directory)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_directory = std::move(directory);
}

void caller_front::stop_taking_requests()
{
    m_is_stopping = true;
}

const std::vector<caller_front::path_row>& caller_front::path_table()
{
    static const std::vector<path_row> table = {
        {"GET", "/v1/routers", &caller_front::show_routers},
        {"GET", "/healthz", &caller_front::show_health},
        {"GET", "/readyz", &caller_front::show_readiness},
        {"GET", "/metrics", &caller_front::show_metrics},
        {"POST", "/v1/chat/completions", &caller_front::complete_chat},
    };
    return table;
}

adapters::http_reply caller_front::handle(const adapters::http_request& request)
{
    if (request.path.starts_with(service_prefix))
    {
        return call_service(request);
    }
    bool is_path_known = false;
    for (const path_row& row : path_table())
    {
        if (row.path != request.path)
        {
            continue;
        }
        is_path_known = true;
        if (row.method == request.method)
        {
            return (this->*row.handle)(request);
        }
    }
    return adapters::make_problem(
        is_path_known ? error{result_code::unsupported_method, "method",
                              "the path does not take this method"}
                      : error{result_code::unknown_route, "path",
                              "there is nothing at this path"});
}

adapters::http_reply
caller_front::show_routers(const adapters::http_request& request)
{
    std::string account;
    std::shared_ptr<const caller_directory> known = directory();
    if (known != nullptr)
    {
        result<const domain::account_declaration*> found =
            known->authenticate(request.header("Authorization"));
        account = found ? found.value()->name : "";
    }
    return adapters::make_json_reply(status_ok, m_parts.locate(account));
}

adapters::http_reply
caller_front::show_health(const adapters::http_request& /*request*/)
{
    return make_text_reply("text/plain", "ok\n");
}

adapters::http_reply
caller_front::show_readiness(const adapters::http_request& /*request*/)
{
    std::optional<error> fault = find_refusal();
    return fault ? adapters::make_problem(*fault)
                 : make_text_reply("text/plain", "ready\n");
}

adapters::http_reply
caller_front::show_metrics(const adapters::http_request& /*request*/)
{
    m_parts.refresh_metrics();
    return make_text_reply(metrics::registry::content_type,
                           m_parts.metrics.render());
}

adapters::http_reply
caller_front::complete_chat(const adapters::http_request& http)
{
    std::optional<error> refusal = find_refusal();
    if (refusal)
    {
        return refuse(*refusal, nullptr);
    }
    result<drivers::request_context> request =
        take_chat_request(http, *directory(), m_parts.bytes_per_token,
                          m_parts.clock.steady_now());
    if (!request)
    {
        return refuse(request.failure(), nullptr);
    }
    result<answer_reader> answer = open_answer(request.value());
    if (!answer)
    {
        return refuse(answer.failure(), &request.value());
    }
    codecs::response_identity id =
        identity_of(request.value(), m_parts.clock.system_now());
    return request.value().chat->is_streamed
               ? make_streamed_reply(answer.value(), id)
               : make_whole_reply(answer.value(), id);
}

adapters::http_reply
caller_front::call_service(const adapters::http_request& http)
{
    std::optional<error> refusal = find_refusal();
    if (refusal)
    {
        return refuse(*refusal, nullptr);
    }
    result<drivers::request_context> request =
        take_service_request(http, *directory(), m_parts.clock.steady_now());
    if (!request)
    {
        return refuse(request.failure(), nullptr);
    }
    result<answer_reader> answer = open_answer(request.value());
    if (!answer)
    {
        return refuse(answer.failure(), &request.value());
    }
    return make_service_reply(answer.value(), request.value().request_id);
}

std::shared_ptr<const caller_directory> caller_front::directory() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_directory;
}

std::optional<error> caller_front::find_refusal() const
{
    if (m_is_stopping)
    {
        return error{result_code::router_stopping, "router",
                     "the router is stopping", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    std::shared_ptr<const caller_directory> known = directory();
    if (known == nullptr || known->version() == 0)
    {
        return error{result_code::router_not_ready, "configuration",
                     "the router has no configuration yet", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    return m_parts.find_fault();
}

adapters::http_reply
caller_front::refuse(const error& failure,
                     const drivers::request_context* request)
{
    drivers::request_summary summary;
    summary.failure = failure;
    static const drivers::request_context unknown;
    m_parts.observer.on_end(request == nullptr ? unknown : *request, summary);
    adapters::http_reply reply = adapters::make_problem(failure);
    if (request != nullptr)
    {
        reply.headers.emplace_back("X-Request-Id", request->request_id);
    }
    return reply;
}

result<answer_reader>
caller_front::open_answer(const drivers::request_context& request)
{
    result<drivers::opened_response> opened = m_parts.answers.open(
        request.account.name, request.request_id, request.body_digest);
    if (!opened)
    {
        return opened.failure();
    }
    std::shared_ptr<drivers::response_buffer> buffer = opened.value().buffer;
    answer_reader reader{buffer, buffer->attach_reader()};
    if (opened.value().is_new)
    {
        start_run(request, buffer);
    }
    return reader;
}

void caller_front::start_run(
    const drivers::request_context& request,
    const std::shared_ptr<drivers::response_buffer>& buffer)
{
    auto run = [this, request, buffer]
    {
        bool is_kept = m_parts.runner.run(request, *buffer);
        m_parts.answers.close(request.account.name, request.request_id,
                              is_kept);
    };
    if (!m_parts.runs.try_run(std::move(run)))
    {
        buffer->fail(error{result_code::too_many_connections, "threads",
                           "all threads of this router are taken",
                           outcome::not_run, std::chrono::seconds(1)});
        m_parts.answers.close(request.account.name, request.request_id, false);
    }
}

} // namespace turmeric::router
