#include "standins/engine/engine_server.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/domain/digest.hpp"
#include "standins/common/json_reply.hpp"

#include <fmt/core.h>

#include <charconv>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_internal_error = 500;
constexpr int http_unavailable = 503;

void reply_engine_error(httplib::Response& reply, int http_status,
                        const std::string& message,
                        const std::string& field = "")
{
    const json failure = {{"message", message},
                          {"type", "engine_error"},
                          {"param", field},
                          {"code", http_status}};
    reply_json(reply, {{"error", failure}}, http_status);
}

std::optional<std::int64_t> read_offset(const httplib::Request& request)
{
    const std::string text = request.get_header_value("Resume-Offset");
    if (text.empty())
    {
        return 0;
    }
    std::int64_t offset = 0;
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data(), end, offset);
    const bool is_valid =
        parsed.ec == std::errc() && parsed.ptr == end && offset >= 0;
    return is_valid ? std::optional<std::int64_t>(offset) : std::nullopt;
}

} // namespace

/// A request that the engine processes.
struct engine_server::active_request
{
    response_stream response;
    request_faults faults;
    job request_job;
};

engine_server::engine_server(const ports::clock& clock,
                             const engine_server_options& options)
    : m_engine(clock, options.engine)
    , m_order_handler(options.versions, options.enforces_fencing)
    , m_http(options.threads)
{
    register_handlers();
}

engine_server::~engine_server()
{
    shut_down();
}

std::optional<int> engine_server::start(const std::string& host, int port)
{
    const std::optional<int> bound_port = m_http.start(host, port);
    m_is_running = bound_port.has_value();
    return bound_port;
}

void engine_server::shut_down()
{
    if (!std::exchange(m_is_running, false))
    {
        return;
    }
    m_engine.stop();
    m_http.shut_down();
}

status engine_server::set_faults(const json& change)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    status applied = m_faults.apply(change);
    if (applied)
    {
        m_engine.set_frozen(m_faults.faults_of_process().freeze);
    }
    return applied;
}

json engine_server::faults_to_json()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults.to_json();
}

json engine_server::counts(bool has_request_ids)
{
    json document = m_engine.counts();
    document["requests"] = m_requests.load();
    document["failed"] = m_failed.load();
    document["bytes_in"] = m_http.traffic().bytes_in.load();
    document.update(m_order_handler.to_json());
    std::lock_guard<std::mutex> lock(m_mutex);
    document["requests_by_version"] = m_requests_by_version;
    document["taken_while_leaving"] = m_accepted_while_leaving;
    if (has_request_ids)
    {
        document["request_ids"] = m_request_ids;
    }
    return document;
}

void engine_server::register_handlers()
{
    using request = httplib::Request;
    using response = httplib::Response;
    m_http.Post("/v1/chat/completions",
                [this](const request& http_request, response& reply)
                { on_chat(http_request, reply); });
    m_http.Post("/v1/orders",
                [this](const request& http_request, response& reply)
                { on_order(http_request, reply); });
    m_http.Get("/v1/models",
               [this](const request&, response& reply) { on_models(reply); });
    m_http.Get("/health",
               [this](const request&, response& reply) { on_health(reply); });
    m_http.Get("/metrics",
               [this](const request&, response& reply) { on_metrics(reply); });
    register_fault_handlers(
        m_http, [this] { return faults_to_json(); },
        [this](const json& change) { return set_faults(change); });
    m_http.Get("/counts",
               [this](const request& http_request, response& reply) {
                   reply_json(reply, counts(http_request.get_param_value(
                                                "ids") != "0"));
               });
}

void engine_server::on_chat(const httplib::Request& request,
                            httplib::Response& reply)
{
    ++m_requests;
    m_engine.wait_while_frozen();
    const result<chat_request> parsed = parse_chat_request(request.body);
    const std::optional<std::int64_t> offset = read_offset(request);
    if (!parsed || !offset)
    {
        const std::string field =
            parsed ? "Resume-Offset" : parsed.failure().field;
        reply_engine_error(reply, http_bad_request,
                           parsed ? "must be a non-negative number of tokens"
                                  : parsed.failure().detail,
                           field);
        return;
    }
    const chat_request& chat = parsed.value();
    if (!m_order_handler.is_serving(chat.version))
    {
        reply_engine_error(reply, http_not_found, "unknown model", "model");
        return;
    }
    const std::string id = request.get_header_value("X-Request-Id");
    const request_faults faults = record_request(id, chat.version);
    if (should_fail_at_random(faults))
    {
        ++m_failed;
        reply_engine_error(reply, http_internal_error,
                           "injected engine failure");
        return;
    }
    if (m_engine.is_recovering())
    {
        reply_engine_error(reply, http_unavailable,
                           "the engine is recovering from a crash");
        return;
    }
    std::shared_ptr<active_request> active = prepare(chat, faults, id, *offset);
    if (chat.is_streamed)
    {
        respond_streamed(std::move(active), reply);
        return;
    }
    respond_complete(*active, reply);
}

std::shared_ptr<engine_server::active_request>
engine_server::prepare(const chat_request& chat, const request_faults& faults,
                       const std::string& id, std::int64_t offset)
{
    const std::int64_t cached = m_engine.look_up_prefix(chat.prompt);
    job request_job;
    request_job.priority = chat.priority;
    // A resumed response starts after tokens that are prefilled like those of
    // the prompt.
    request_job.prefill_tokens = chat.prompt_tokens - cached + offset;
    request_job.slow_factor = faults.slow_factor;
    request_job.delay = std::chrono::milliseconds(faults.delay_ms);
    return std::make_shared<active_request>(active_request{
        response_stream(chat, "chatcmpl-" + id, offset, cached,
                        http_server::current_connection().socket()),
        faults, request_job});
}

void engine_server::respond_complete(active_request& active,
                                     httplib::Response& reply)
{
    const response_end end =
        m_engine.serve(active.response, active.faults, active.request_job);
    if (end == response_end::complete)
    {
        reply_json(reply, active.response.completion_json());
        return;
    }
    if (end == response_end::refused)
    {
        reply_engine_error(reply, http_unavailable,
                           "the engine is recovering from a crash");
        return;
    }
    http_server::current_connection().drop();
}

void engine_server::respond_streamed(std::shared_ptr<active_request> active,
                                     httplib::Response& reply)
{
    reply.set_chunked_content_provider(
        "text/event-stream",
        [this, active = std::move(active)](std::size_t, httplib::DataSink&)
        {
            const response_end end = m_engine.serve(
                active->response, active->faults, active->request_job);
            if (end == response_end::complete)
            {
                http_server::current_connection().mark_reply_written();
            }
            else
            {
                http_server::current_connection().drop();
            }
            // Returning false keeps the library from writing the end of the
            // reply a second time.
            return false;
        });
}

request_faults engine_server::record_request(const std::string& id,
                                             const std::string& version)
{
    constexpr std::size_t max_request_ids = 200'000;
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_requests_by_version[version];
    m_accepted_while_leaving += m_faults.faults_of_process().leaving ? 1 : 0;
    if (!id.empty() &&
        (m_request_ids.size() < max_request_ids || m_request_ids.contains(id)))
    {
        ++m_request_ids[id];
    }
    return m_faults.faults_of_version(version);
}

bool engine_server::should_fail_at_random(const request_faults& faults)
{
    constexpr std::uint64_t possible_draws = 10'000;
    constexpr double draws_per_percent = 100.0;
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::string draw = std::to_string(++m_failure_draws);
    const double drawn_value =
        static_cast<double>(domain::digest_of(draw) % possible_draws);
    return drawn_value < faults.fail_percent * draws_per_percent;
}

void engine_server::on_order(const httplib::Request& request,
                             httplib::Response& reply)
{
    m_engine.wait_while_frozen();
    const result<json> order =
        codecs::parse_json(request.body, result_code::malformed_body, "body");
    if (!order || !order.value().is_object())
    {
        reply_engine_error(reply, http_bad_request, "not a JSON object",
                           "body");
        return;
    }
    const status executed = m_order_handler.execute(order.value());
    if (!executed)
    {
        const bool is_outdated =
            executed.failure().code == result_code::upstream_refused_order;
        reply_engine_error(reply,
                           is_outdated ? http_conflict : http_bad_request,
                           executed.failure().detail, executed.failure().field);
        return;
    }
    reply_json(reply, {{"obeyed", true}});
}

void engine_server::on_health(httplib::Response& reply)
{
    m_engine.wait_while_frozen();
    std::lock_guard<std::mutex> lock(m_mutex);
    const bool is_leaving = m_faults.faults_of_process().leaving;
    reply_json(reply, {{"state", is_leaving ? "leaving" : "serving"}},
               is_leaving ? http_unavailable : 200);
}

void engine_server::on_metrics(httplib::Response& reply)
{
    m_engine.wait_while_frozen();
    const load_report load = m_engine.report();
    const std::string text =
        fmt::format("# TYPE vllm:num_requests_running gauge\n"
                    "vllm:num_requests_running {}\n"
                    "# TYPE vllm:num_requests_waiting gauge\n"
                    "vllm:num_requests_waiting {}\n"
                    "# TYPE vllm:prefix_cache_queries_total counter\n"
                    "vllm:prefix_cache_queries_total {}\n"
                    "# TYPE vllm:prefix_cache_hits_total counter\n"
                    "vllm:prefix_cache_hits_total {}\n",
                    load.running, load.waiting, load.cache_queried_tokens,
                    load.cache_hit_tokens);
    reply.set_content(text, "text/plain; version=0.0.4");
}

void engine_server::on_models(httplib::Response& reply)
{
    m_engine.wait_while_frozen();
    json models = json::array();
    const json orders = m_order_handler.to_json();
    for (const json& version : orders["versions"])
    {
        models.push_back({{"id", version}, {"object", "model"}});
    }
    reply_json(reply, {{"object", "list"}, {"data", models}});
}

} // namespace turmeric::standins
