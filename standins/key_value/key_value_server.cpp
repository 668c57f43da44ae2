#include "standins/key_value/key_value_server.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "standins/common/json_reply.hpp"
#include "standins/key_value/gateway_messages.hpp"
#include "standins/key_value/gateway_refusals.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace turmeric::standins
{

namespace
{

constexpr std::size_t largest_value_bytes = 1'048'576;
constexpr std::chrono::milliseconds watch_poll{100};

bool is_too_large(const operation& step)
{
    const put_operation* put = std::get_if<put_operation>(&step);
    return put != nullptr && put->value.size() > largest_value_bytes;
}

bool has_large_value(const transaction& wanted)
{
    return std::any_of(wanted.success.begin(), wanted.success.end(),
                       is_too_large) ||
           std::any_of(wanted.failure.begin(), wanted.failure.end(),
                       is_too_large);
}

} // namespace

/// Where one watch stands.
struct key_value_server::watch_state
{
    explicit watch_state(std::atomic<std::int64_t>& waiting_watches)
        : waiting(waiting_watches)
    {
        ++waiting;
    }

    ~watch_state()
    {
        --waiting;
    }

    watch_state(const watch_state&) = delete;
    watch_state& operator=(const watch_state&) = delete;

    std::atomic<std::int64_t>& waiting;
    range_operation range;
    std::int64_t next = 0;
    bool is_created = false;
    bool is_silenced = false;
};

const std::array<key_value_server::call_row, key_value_server::call_kinds>&
key_value_server::call_table()
{
    static const std::array<call_row, call_kinds> table = {
        call_row{"/v3/kv/range", key_value_call::range, "range", false,
                 &key_value_server::on_range},
        call_row{"/v3/kv/txn", key_value_call::txn, "txn", true,
                 &key_value_server::on_txn},
        call_row{"/v3/lease/grant", key_value_call::lease_grant, "lease_grant",
                 true, &key_value_server::on_grant},
        call_row{"/v3/lease/keepalive", key_value_call::lease_keepalive,
                 "lease_keepalive", true, &key_value_server::on_keepalive},
        call_row{"/v3/lease/revoke", key_value_call::lease_revoke,
                 "lease_revoke", true, &key_value_server::on_revoke},
        call_row{"/v3/watch", key_value_call::watch, "watch", false,
                 &key_value_server::on_watch},
    };
    return table;
}

key_value_server::key_value_server(const ports::clock& clock,
                                   const key_value_options& options)
    : m_clock(clock)
    , m_state(clock, options.history_limit)
    , m_platform_form(m_state, form_faults())
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
    const std::optional<int> bound = m_http.start(host, port);
    m_is_running = bound.has_value();
    return bound;
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
    return apply_switches(key_value_fault_rows(), change, m_faults);
}

key_value_faults key_value_server::faults()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

json key_value_server::counts()
{
    json calls = json::object();
    for (const call_row& row : call_table())
    {
        calls[row.name] = m_calls.at(static_cast<std::size_t>(row.kind)).load();
    }
    return {{"calls", calls},
            {"rate_limited", m_rate_limited.load()},
            {"refused_by_outage", m_refused_by_outage.load()},
            {"too_large", m_too_large.load()},
            {"replies_dropped", m_replies_dropped.load()},
            {"waiting_watches", m_waiting_watches.load()},
            {"bytes_in", m_http.traffic().bytes_in.load()},
            {"bytes_out", m_http.traffic().bytes_out.load()},
            {"keys", m_state.size()},
            {"revision", m_state.revision()}};
}

void key_value_server::register_handlers()
{
    for (const call_row& row : call_table())
    {
        m_http.Post(row.path, [this, &row](const httplib::Request& request,
                                           httplib::Response& reply)
                    { handle_call(row, request, reply); });
    }
    m_platform_form.register_calls(m_http);
    m_http.Get("/counts",
               [this](const httplib::Request&, httplib::Response& reply)
               { reply_json(reply, counts()); });
    register_fault_handlers(
        m_http,
        [this] { return switches_to_json(key_value_fault_rows(), faults()); },
        [this](const json& change) { return set_faults(change); });
}

void key_value_server::handle_call(const call_row& row,
                                   const httplib::Request& request,
                                   httplib::Response& reply)
{
    ++m_calls.at(static_cast<std::size_t>(row.kind));
    if (apply_faults(row.is_write, reply) == verdict::answered)
    {
        return;
    }
    result<json> body =
        codecs::parse_json(request.body, result_code::malformed_body, "body");
    if (!body || !body.value().is_object())
    {
        refuse(reply, not_json);
        return;
    }
    (this->*row.handler)(body.value(), reply);
}

key_value_server::verdict
key_value_server::apply_faults(bool is_write, httplib::Response& reply)
{
    const key_value_faults now = faults();
    if (now.delay_ms > 0)
    {
        m_stop.sleep_for(std::chrono::milliseconds(now.delay_ms));
    }
    if (now.outage)
    {
        ++m_refused_by_outage;
        http_server::current_connection().drop();
        return verdict::answered;
    }
    if (now.unavailable)
    {
        ++m_refused_by_outage;
        refuse(reply, no_leader);
        return verdict::answered;
    }
    if (!is_within_rate(is_write))
    {
        ++m_rate_limited;
        refuse(reply, too_many);
        return verdict::answered;
    }
    return verdict::serve;
}

bool key_value_server::is_within_rate(bool is_write)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const ports::steady_time now = m_clock.steady_now();
    return is_write ? m_write_limiter.allows(m_faults.write_rate, now)
                    : m_read_limiter.allows(m_faults.read_rate, now);
}

bool key_value_server::take_one(std::int64_t key_value_faults::*count)
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

platform_form_faults key_value_server::form_faults()
{
    return {[this](bool is_write, httplib::Response& reply)
            { return apply_faults(is_write, reply) == verdict::answered; },
            [this] { return take_one(&key_value_faults::drop_before_effect); },
            [this]
            { return take_one(&key_value_faults::drop_reply_after_effect); },
            [this] { return faults().silent_watches; }};
}

void key_value_server::on_range(const json& body, httplib::Response& reply)
{
    const result<range_operation> wanted = read_range(body);
    if (!wanted)
    {
        refuse_field(reply, wanted.failure());
        return;
    }
    reply_json(reply, show_range(m_state.read(wanted.value())));
}

void key_value_server::on_txn(const json& body, httplib::Response& reply)
{
    const result<transaction> wanted = read_transaction(body);
    if (!wanted)
    {
        refuse_field(reply, wanted.failure());
        return;
    }
    if (has_large_value(wanted.value()))
    {
        ++m_too_large;
        refuse(reply, too_large);
        return;
    }
    if (take_one(&key_value_faults::drop_before_effect))
    {
        return;
    }
    const result<transaction_reply> done = m_state.run(wanted.value());
    if (!done)
    {
        refuse(reply, no_lease);
        return;
    }
    if (take_one(&key_value_faults::drop_reply_after_effect))
    {
        return;
    }
    reply_json(reply, show_transaction(done.value()));
}

void key_value_server::on_grant(const json& body, httplib::Response& reply)
{
    const result<std::int64_t> time_to_live = read_number(body, "TTL");
    const result<std::int64_t> id = read_number(body, "ID");
    if (!time_to_live || !id || time_to_live.value() <= 0)
    {
        refuse_field(reply, error{result_code::invalid_field, "TTL",
                                  "TTL and ID must be numbers"});
        return;
    }
    const std::int64_t granted =
        m_state.grant(id.value(), std::chrono::seconds(time_to_live.value()));
    reply_json(reply, {{"header", show_header(m_state.revision())},
                       {"ID", std::to_string(granted)},
                       {"TTL", std::to_string(time_to_live.value())}});
}

void key_value_server::on_keepalive(const json& body, httplib::Response& reply)
{
    const result<std::int64_t> id = read_number(body, "ID");
    if (!id)
    {
        refuse_field(reply, id.failure());
        return;
    }
    const std::chrono::seconds left = m_state.keep_alive(id.value());
    json renewed = {{"header", show_header(m_state.revision())},
                    {"ID", std::to_string(id.value())}};
    // The gateway leaves out the time to live of a lease that has lapsed.
    if (left.count() > 0)
    {
        renewed["TTL"] = std::to_string(left.count());
    }
    reply_json(reply, {{"result", renewed}});
}

void key_value_server::on_revoke(const json& body, httplib::Response& reply)
{
    const result<std::int64_t> id = read_number(body, "ID");
    if (!id)
    {
        refuse_field(reply, id.failure());
        return;
    }
    if (!m_state.revoke(id.value()))
    {
        refuse(reply, no_lease);
        return;
    }
    reply_json(reply, {{"header", show_header(m_state.revision())}});
}

void key_value_server::on_watch(const json& body, httplib::Response& reply)
{
    const json creation = body.value("create_request", json::object());
    const result<range_operation> range = read_range(creation);
    const result<std::int64_t> start = read_number(creation, "start_revision");
    if (!range || !start)
    {
        refuse_field(reply, range ? start.failure() : range.failure());
        return;
    }
    std::shared_ptr<watch_state> watch =
        std::make_shared<watch_state>(m_waiting_watches);
    watch->range = range.value();
    watch->next = start.value() > 0 ? start.value() : m_state.revision() + 1;
    reply.set_chunked_content_provider(
        "application/json", [this, watch](std::size_t, httplib::DataSink& sink)
        { return feed_watch(*watch, sink); });
}

bool key_value_server::feed_watch(watch_state& watch, httplib::DataSink& sink)
{
    const key_value_faults now = faults();
    if (m_stop.is_stopping() || now.outage || now.unavailable ||
        !http_server::current_connection().is_peer_connected())
    {
        return false;
    }
    if (!watch.is_created)
    {
        watch.is_created = true;
        const json created = {{"header", show_header(m_state.revision())},
                              {"created", true}};
        const std::string line = json({{"result", created}}).dump() + "\n";
        return sink.write(line.data(), line.size());
    }
    watch.is_silenced = watch.is_silenced || now.silent_watches;
    if (watch.is_silenced)
    {
        return m_stop.sleep_for(watch_poll);
    }
    const watch_reply seen =
        m_state.wait_for_events(watch.range, watch.next, watch_poll);
    watch.next = std::max(watch.next, seen.revision + 1);
    if (seen.events.empty() && seen.compact_revision == 0)
    {
        return true;
    }
    const std::string line = show_events(seen).dump() + "\n";
    return sink.write(line.data(), line.size()) && seen.compact_revision == 0;
}

} // namespace turmeric::standins
