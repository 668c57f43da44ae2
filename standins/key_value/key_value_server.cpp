#include "standins/key_value/key_value_server.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "standins/common/json_reply.hpp"
#include "standins/key_value/gateway_errors.hpp"
#include "standins/key_value/gateway_messages.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace turmeric::standins
{

namespace
{

/// Transactions that put a larger value are refused.
constexpr std::size_t max_value_bytes = 1'048'576;
constexpr std::chrono::milliseconds watch_poll_interval{100};

bool is_too_large(const operation& requested)
{
    const put_operation* put = std::get_if<put_operation>(&requested);
    return put != nullptr && put->value.size() > max_value_bytes;
}

bool has_large_value(const transaction& request)
{
    return std::any_of(request.success.begin(), request.success.end(),
                       is_too_large) ||
           std::any_of(request.failure.begin(), request.failure.end(),
                       is_too_large);
}

} // namespace

/// The progress of one watch; counts itself as waiting while it exists.
struct key_value_server::watch_state
{
    explicit watch_state(std::atomic<std::int64_t>& waiting_watches)
        : waiting_count(waiting_watches)
    {
        ++waiting_count;
    }

    ~watch_state()
    {
        --waiting_count;
    }

    watch_state(const watch_state&) = delete;
    watch_state& operator=(const watch_state&) = delete;

    std::atomic<std::int64_t>& waiting_count;
    range_operation range;
    /// The first revision whose changes have not been sent.
    std::int64_t next_revision = 0;
    bool is_creation_sent = false;
    /// Stays true once `silent_watches` was set during this watch.
    bool is_silenced = false;
};

const std::array<key_value_server::call_endpoint,
                 key_value_server::call_kind_count>&
key_value_server::endpoints()
{
    static const std::array<call_endpoint, call_kind_count> table = {
        call_endpoint{"/v3/kv/range", key_value_call_kind::range, "range",
                      false, &key_value_server::on_range},
        call_endpoint{"/v3/kv/txn", key_value_call_kind::txn, "txn", true,
                      &key_value_server::on_transaction},
        call_endpoint{"/v3/lease/grant", key_value_call_kind::lease_grant,
                      "lease_grant", true, &key_value_server::on_lease_grant},
        call_endpoint{"/v3/lease/keepalive",
                      key_value_call_kind::lease_keepalive, "lease_keepalive",
                      true, &key_value_server::on_lease_keepalive},
        call_endpoint{"/v3/lease/revoke", key_value_call_kind::lease_revoke,
                      "lease_revoke", true, &key_value_server::on_lease_revoke},
        call_endpoint{"/v3/watch", key_value_call_kind::watch, "watch", false,
                      &key_value_server::on_watch},
    };
    return table;
}

key_value_server::key_value_server(const ports::clock& clock,
                                   const key_value_server_options& options)
    : m_clock(clock)
    , m_state(clock, options.max_history_events)
    , m_platform_api(m_state, make_platform_api_faults())
    , m_http(options.threads)
    , m_faults(options.faults)
{
    register_handlers();
}

key_value_server::~key_value_server()
{
    shut_down();
}

std::optional<int> key_value_server::start(const std::string& host, int port)
{
    const std::optional<int> bound_port = m_http.start(host, port);
    m_is_running = bound_port.has_value();
    return bound_port;
}

void key_value_server::shut_down()
{
    if (!std::exchange(m_is_running, false))
    {
        return;
    }
    m_stop.request_stop();
    m_state.stop();
    m_http.shut_down();
}

status key_value_server::set_faults(const json& change)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return apply_switches(key_value_fault_fields(), change, m_faults);
}

key_value_faults key_value_server::faults()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

json key_value_server::counts()
{
    json calls = json::object();
    for (const call_endpoint& endpoint : endpoints())
    {
        calls[endpoint.name] =
            m_calls.at(static_cast<std::size_t>(endpoint.kind)).load();
    }
    return {{"calls", calls},
            {"rate_limited", m_rate_limited.load()},
            {"refused_by_outage", m_refused_by_outage.load()},
            {"too_large", m_too_large.load()},
            {"replies_dropped", m_replies_dropped.load()},
            {"waiting_watches", m_waiting_watches.load()},
            {"bytes_in", m_http.traffic().bytes_in.load()},
            {"bytes_out", m_http.traffic().bytes_out.load()},
            {"keys", m_state.key_count()},
            {"revision", m_state.revision()}};
}

void key_value_server::register_handlers()
{
    for (const call_endpoint& endpoint : endpoints())
    {
        m_http.Post(endpoint.path,
                    [this, &endpoint](const httplib::Request& request,
                                      httplib::Response& reply)
                    { handle_call(endpoint, request, reply); });
    }
    m_platform_api.register_endpoints(m_http);
    m_http.Post("/copy/take",
                [this](const httplib::Request&, httplib::Response& reply)
                {
                    m_state.take_copy();
                    reply_json(reply, json::object());
                });
    m_http.Post("/copy/restore",
                [this](const httplib::Request&, httplib::Response& reply)
                {
                    m_state.restore_copy();
                    reply_json(reply, json::object());
                });
    m_http.Get("/counts",
               [this](const httplib::Request&, httplib::Response& reply)
               { reply_json(reply, counts()); });
    register_fault_handlers(
        m_http,
        [this] { return switches_to_json(key_value_fault_fields(), faults()); },
        [this](const json& change) { return set_faults(change); });
}

void key_value_server::handle_call(const call_endpoint& endpoint,
                                   const httplib::Request& request,
                                   httplib::Response& reply)
{
    ++m_calls.at(static_cast<std::size_t>(endpoint.kind));
    if (apply_faults(endpoint.is_write, reply) == fault_outcome::handled)
    {
        return;
    }
    result<json> body =
        codecs::parse_json(request.body, result_code::malformed_body, "body");
    if (!body || !body.value().is_object())
    {
        reply_gateway_error(reply, not_json_error);
        return;
    }
    (this->*endpoint.handler)(body.value(), reply);
}

key_value_server::fault_outcome
key_value_server::apply_faults(bool is_write, httplib::Response& reply)
{
    const key_value_faults current_faults = faults();
    if (current_faults.delay_ms > 0)
    {
        m_stop.sleep_for(std::chrono::milliseconds(current_faults.delay_ms));
    }
    if (current_faults.outage)
    {
        ++m_refused_by_outage;
        http_server::current_connection().drop();
        return fault_outcome::handled;
    }
    if (current_faults.unavailable)
    {
        ++m_refused_by_outage;
        reply_gateway_error(reply, no_leader_error);
        return fault_outcome::handled;
    }
    if (!is_within_rate(is_write))
    {
        ++m_rate_limited;
        reply_gateway_error(reply, too_many_requests_error);
        return fault_outcome::handled;
    }
    return fault_outcome::proceed;
}

bool key_value_server::is_within_rate(bool is_write)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const ports::steady_time now = m_clock.steady_now();
    return is_write ? m_write_limiter.allows(m_faults.write_rate, now)
                    : m_read_limiter.allows(m_faults.read_rate, now);
}

bool key_value_server::consume_drop_fault(std::int64_t key_value_faults::*count)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.*count == 0)
    {
        return false;
    }
    --(m_faults.*count);
    ++m_replies_dropped;
    http_server::current_connection().drop();
    return true;
}

platform_api_faults key_value_server::make_platform_api_faults()
{
    return {
        [this](bool is_write, httplib::Response& reply)
        { return apply_faults(is_write, reply) == fault_outcome::handled; },
        [this]
        { return consume_drop_fault(&key_value_faults::drop_before_effect); },
        [this] {
            return consume_drop_fault(
                &key_value_faults::drop_reply_after_effect);
        },
        [this] { return faults().silent_watches; }};
}

void key_value_server::on_range(const json& body, httplib::Response& reply)
{
    const result<range_operation> range = parse_range(body);
    if (!range)
    {
        reply_field_error(reply, range.failure());
        return;
    }
    reply_json(reply, range_to_json(m_state.read(range.value())));
}

void key_value_server::on_transaction(const json& body,
                                      httplib::Response& reply)
{
    const result<transaction> request = parse_transaction(body);
    if (!request)
    {
        reply_field_error(reply, request.failure());
        return;
    }
    if (has_large_value(request.value()))
    {
        ++m_too_large;
        reply_gateway_error(reply, request_too_large_error);
        return;
    }
    if (consume_drop_fault(&key_value_faults::drop_before_effect))
    {
        return;
    }
    const result<transaction_reply> outcome = m_state.run(request.value());
    if (!outcome)
    {
        reply_gateway_error(reply, lease_not_found_error);
        return;
    }
    if (consume_drop_fault(&key_value_faults::drop_reply_after_effect))
    {
        return;
    }
    reply_json(reply, transaction_to_json(outcome.value()));
}

void key_value_server::on_lease_grant(const json& body,
                                      httplib::Response& reply)
{
    const result<std::int64_t> time_to_live = read_int64_field(body, "TTL");
    const result<std::int64_t> id = read_int64_field(body, "ID");
    if (!time_to_live || !id || time_to_live.value() <= 0)
    {
        reply_field_error(
            reply, error{result_code::invalid_field, "TTL",
                         "TTL must be a positive integer and ID an integer"});
        return;
    }
    const std::int64_t granted = m_state.grant_lease(
        id.value(), std::chrono::seconds(time_to_live.value()));
    reply_json(reply, {{"header", header_to_json(m_state.revision())},
                       {"ID", std::to_string(granted)},
                       {"TTL", std::to_string(time_to_live.value())}});
}

void key_value_server::on_lease_keepalive(const json& body,
                                          httplib::Response& reply)
{
    const result<std::int64_t> id = read_int64_field(body, "ID");
    if (!id)
    {
        reply_field_error(reply, id.failure());
        return;
    }
    const std::chrono::seconds time_to_live = m_state.renew_lease(id.value());
    json renewed = {{"header", header_to_json(m_state.revision())},
                    {"ID", std::to_string(id.value())}};
    // etcd's gateway leaves out the time to live of an expired lease.
    if (time_to_live.count() > 0)
    {
        renewed["TTL"] = std::to_string(time_to_live.count());
    }
    reply_json(reply, {{"result", renewed}});
}

void key_value_server::on_lease_revoke(const json& body,
                                       httplib::Response& reply)
{
    const result<std::int64_t> id = read_int64_field(body, "ID");
    if (!id)
    {
        reply_field_error(reply, id.failure());
        return;
    }
    if (!m_state.revoke_lease(id.value()))
    {
        reply_gateway_error(reply, lease_not_found_error);
        return;
    }
    reply_json(reply, {{"header", header_to_json(m_state.revision())}});
}

void key_value_server::on_watch(const json& body, httplib::Response& reply)
{
    const json creation = body.value("create_request", json::object());
    const result<range_operation> range = parse_range(creation);
    const result<std::int64_t> start =
        read_int64_field(creation, "start_revision");
    if (!range || !start)
    {
        reply_field_error(reply, range ? start.failure() : range.failure());
        return;
    }
    std::shared_ptr<watch_state> watch =
        std::make_shared<watch_state>(m_waiting_watches);
    watch->range = range.value();
    watch->next_revision =
        start.value() > 0 ? start.value() : m_state.revision() + 1;
    reply.set_chunked_content_provider(
        "application/json", [this, watch](std::size_t, httplib::DataSink& sink)
        { return write_watch_events(*watch, sink); });
}

bool key_value_server::write_watch_events(watch_state& watch,
                                          httplib::DataSink& sink)
{
    const key_value_faults current_faults = faults();
    if (m_stop.is_stopping() || current_faults.outage ||
        current_faults.unavailable ||
        !http_server::current_connection().is_peer_connected())
    {
        return false;
    }
    if (!watch.is_creation_sent)
    {
        watch.is_creation_sent = true;
        const json created = {{"header", header_to_json(m_state.revision())},
                              {"created", true}};
        const std::string line = json({{"result", created}}).dump() + "\n";
        return sink.write(line.data(), line.size());
    }
    watch.is_silenced = watch.is_silenced || current_faults.silent_watches;
    if (watch.is_silenced)
    {
        return m_stop.sleep_for(watch_poll_interval);
    }
    const watch_reply changes = m_state.wait_for_events(
        watch.range, watch.next_revision, watch_poll_interval);
    watch.next_revision = std::max(watch.next_revision, changes.revision + 1);
    if (changes.events.empty() && changes.compact_revision == 0)
    {
        return true;
    }
    const std::string line = events_to_json(changes).dump() + "\n";
    return sink.write(line.data(), line.size()) &&
           changes.compact_revision == 0;
}

} // namespace turmeric::standins
