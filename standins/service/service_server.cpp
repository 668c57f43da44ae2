#include "standins/service/service_server.hpp"

#include "libraries/domain/digest.hpp"
#include "standins/common/json_reply.hpp"

#include <array>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <span>
#include <thread>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr int http_internal_error = 500;
constexpr int http_misdirected = 421;
constexpr int http_unavailable = 503;

constexpr std::array fault_table = {
    switch_field<service_faults>{"delay_ms", &service_faults::delay_ms},
    switch_field<service_faults>{"fail", &service_faults::fail},
    switch_field<service_faults>{"fail_percent", &service_faults::fail_percent},
    switch_field<service_faults>{"drop_reply_after_effect",
                                 &service_faults::drop_reply_after_effect},
    switch_field<service_faults>{"drop_before_effect",
                                 &service_faults::drop_before_effect},
    switch_field<service_faults>{"leaving", &service_faults::is_leaving},
    switch_field<service_faults>{"brittle", &service_faults::brittle},
    switch_field<service_faults>{"pause_s", &service_faults::pause_seconds},
};

constexpr std::span<const switch_field<service_faults>> fault_fields =
    fault_table;

} // namespace

service_server::service_server(std::size_t threads)
    : m_http(threads)
{
    m_http.Get("/counts",
               [this](const httplib::Request&, httplib::Response& reply)
               { reply_json(reply, counts()); });
    register_fault_handlers(
        m_http, [this] { return faults_to_json(); },
        [this](const json& change) { return set_faults(change); });
    const auto handler =
        [this](const httplib::Request& request, httplib::Response& reply)
    { handle_call(request, reply); };
    m_http.Get(".*", handler);
    m_http.Post(".*", handler);
    m_http.Put(".*", handler);
    m_http.Patch(".*", handler);
    m_http.Delete(".*", handler);
    m_http.Options(".*", handler);
}

service_server::~service_server()
{
    shut_down();
}

std::optional<int> service_server::start(const std::string& host, int port)
{
    const std::optional<int> bound_port = m_http.start(host, port);
    m_is_running = bound_port.has_value();
    return bound_port;
}

void service_server::shut_down()
{
    if (!std::exchange(m_is_running, false))
    {
        return;
    }
    m_stop.request_stop();
    m_http.shut_down();
}

status service_server::set_faults(const json& change)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return apply_switches(fault_fields, change, m_faults);
}

json service_server::faults_to_json()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return switches_to_json(fault_fields, m_faults);
}

json service_server::counts()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return {{"calls", m_calls},
            {"effects", m_effects},
            {"failed", m_failed},
            {"dropped", m_dropped},
            {"request_ids", m_effects_by_id}};
}

void service_server::handle_call(const httplib::Request& request,
                                 httplib::Response& reply)
{
    std::chrono::milliseconds delay{0};
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ++m_calls;
        delay = std::chrono::milliseconds(m_faults.delay_ms);
    }
    if (delay.count() > 0)
    {
        m_stop.sleep_for(delay);
    }
    const std::string expected = request.get_header_value("X-Expect-Instance");
    if (!m_upstream_id.empty() && expected != m_upstream_id)
    {
        reply.status = http_misdirected;
        return;
    }
    add_notices(reply);
    if (turn_away(reply))
    {
        return;
    }
    if (consume_fault(&service_faults::fail) || should_fail_at_random())
    {
        reply_json(reply, {{"error", "the service failed"}},
                   http_internal_error);
        return;
    }
    if (consume_fault(&service_faults::drop_before_effect))
    {
        http_server::current_connection().drop();
        return;
    }
    const json record = record_effect(request);
    if (consume_fault(&service_faults::drop_reply_after_effect))
    {
        http_server::current_connection().drop();
        return;
    }
    reply_json(reply, record);
    apply_platform_protocol(request, reply);
}

void service_server::act_as_platform_upstream(const std::string& upstream_id)
{
    m_upstream_id = upstream_id;
}

void service_server::add_notices(httplib::Response& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_upstream_id.empty() && m_faults.is_leaving)
    {
        reply.set_header("Server-Leaving", "1");
    }
    if (!m_upstream_id.empty() && m_faults.brittle >= 0)
    {
        reply.set_header("Server-Brittle", std::to_string(m_faults.brittle));
    }
}

bool service_server::turn_away(httplib::Response& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_upstream_id.empty() || m_faults.pause_seconds < 0)
    {
        return false;
    }
    reply.status = http_unavailable;
    reply.set_header("X-Not-Executed", "1");
    reply.set_header("Retry-After", fmt::format("{}", m_faults.pause_seconds));
    return true;
}

void service_server::apply_platform_protocol(const httplib::Request& request,
                                             httplib::Response& reply)
{
    if (m_upstream_id.empty())
    {
        return;
    }
    reply.set_header("X-Request-Id", request.get_header_value("X-Request-Id"));
    reply.set_header("X-Server-Stamp", m_upstream_id + ".1");
    if (request.has_header("X-Token-Count"))
    {
        stream_events(request, reply);
    }
}

void service_server::stream_events(const httplib::Request& request,
                                   httplib::Response& reply)
{
    // The header is "INPUT,OUTPUT"; the stream has one event for each output
    // token. A resumed stream starts after the last received event.
    const std::string token_counts = request.get_header_value("X-Token-Count");
    const std::int64_t output = std::strtoll(
        token_counts.substr(token_counts.find(',') + 1).c_str(), nullptr, 10);
    const std::string last_event_id = request.get_header_value("Last-Event-Id");
    const std::int64_t first =
        std::strtoll(last_event_id.c_str(), nullptr, 10) + 1;
    const std::shared_ptr<std::int64_t> next =
        std::make_shared<std::int64_t>(first);
    reply.body.clear();
    reply.headers.erase("Content-Type");
    reply.set_chunked_content_provider(
        "text/event-stream",
        [next, output](std::size_t, httplib::DataSink& sink)
        {
            constexpr std::chrono::milliseconds token_gap{5};
            if (*next > output)
            {
                sink.done();
                return true;
            }
            const std::string id = std::to_string(*next);
            const std::string event = "id: " + id + "\ndata: t" + id + "\n\n";
            ++*next;
            std::this_thread::sleep_for(token_gap);
            return sink.write(event.data(), event.size());
        });
}

bool service_server::consume_fault(std::int64_t service_faults::*count)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.*count == 0)
    {
        return false;
    }
    --(m_faults.*count);
    ++(count == &service_faults::fail ? m_failed : m_dropped);
    return true;
}

bool service_server::should_fail_at_random()
{
    constexpr std::uint64_t possible_draws = 10'000;
    constexpr double draws_per_percent = 100.0;
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::uint64_t draw =
        domain::digest_of(std::to_string(m_calls)) % possible_draws;
    const bool has_failed =
        static_cast<double>(draw) < m_faults.fail_percent * draws_per_percent;
    m_failed += has_failed ? 1 : 0;
    return has_failed;
}

json service_server::record_effect(const httplib::Request& request)
{
    const std::string id = request.get_header_value("X-Request-Id");
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_effects;
    const std::int64_t times_run = ++m_effects_by_id[id];
    return {{"method", request.method},
            {"path", request.target},
            {"request_id", id},
            {"times_run", times_run},
            {"body_bytes", request.body.size()},
            {"body_digest", std::to_string(domain::digest_of(request.body))}};
}

} // namespace turmeric::standins
