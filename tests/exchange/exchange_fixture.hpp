#pragma once

#include "libraries/adapters/openssl/sha256_digest.hpp"
#include "libraries/core/metrics/registry.hpp"
#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/traffic_dispatcher.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "libraries/fakes/seeded_random.hpp"
#include "platform/platform_dialect.hpp"
#include "tests/fleet/manual_timer_queue.hpp"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::tests
{

constexpr ports::transport_failure broken = ports::transport_failure::broken;

/// Returns an event of a stream.
inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// A call that the router started; the test plays the upstream's response by
/// calling `head`, `part` and `end`, or `fail`.
class fake_upstream_call final : public ports::upstream_call
{
public:
    fake_upstream_call(ports::outgoing_call call,
                       std::shared_ptr<ports::call_listener> listener)
        : sent(std::move(call))
        , m_listener(std::move(listener))
    {
    }

    void read_more() override
    {
        ++read_count;
    }

    void cancel() override
    {
        is_cancelled = true;
        m_listener.reset();
    }

    /// Delivers the head of the response.
    void head(int status, ports::header_fields fields)
    {
        listener().on_head({status, "X", std::move(fields)});
    }

    /// Delivers the head of a signed success.
    void success()
    {
        head(200, {{"X-Server-Stamp", "s"}});
    }

    /// Delivers a complete response that states that the request did not run.
    void not_executed(int status = 503)
    {
        head(status, {{"X-Not-Executed", "1"}});
        end();
    }

    /// Delivers a part of the body.
    void part(const std::string& bytes)
    {
        listener().on_part(bytes);
    }

    /// Completes the response.
    void end()
    {
        listener().on_end();
    }

    /// Fails the call.
    void fail(ports::transport_failure failure)
    {
        listener().on_failure(failure);
    }

    bool has_sent(const std::string& text) const
    {
        const std::string body =
            sent.body == nullptr ? std::string() : sent.body->bytes;
        return (sent.bytes + body).find(text) != std::string::npos;
    }

    /// Releases the listener, as the end of a connection does.
    void drop()
    {
        m_listener.reset();
        m_active_listener.reset();
    }

    ports::outgoing_call sent;
    bool is_cancelled = false;
    int read_count = 0;

private:
    /// Returns the listener and keeps it alive during the callback, which may
    /// cancel this call.
    ports::call_listener& listener()
    {
        m_active_listener = m_listener;
        return *m_active_listener;
    }

    std::shared_ptr<ports::call_listener> m_listener;
    std::shared_ptr<ports::call_listener> m_active_listener;
};

/// Records the calls that the router starts.
class fake_upstream_transport final : public ports::upstream_transport
{
public:
    ~fake_upstream_transport() override
    {
        for (const std::shared_ptr<fake_upstream_call>& call : calls)
        {
            call->drop();
        }
    }

    std::shared_ptr<ports::upstream_call>
    start(ports::outgoing_call call,
          std::shared_ptr<ports::call_listener> listener) override
    {
        calls.push_back(std::make_shared<fake_upstream_call>(
            std::move(call), std::move(listener)));
        return calls.back();
    }

    void probe(ports::path_probe sent,
               std::function<void(ports::probe_result)> done) override
    {
        probed.push_back({std::move(sent), std::move(done)});
    }

    void close_idle_connections(const std::string& address) override
    {
        forgotten.push_back(address);
    }

    /// Ends the oldest probe.
    void finish_probe(ports::probe_result result)
    {
        const std::function<void(ports::probe_result)> done =
            std::move(probed.front().done);
        probed.pop_front();
        done(result);
    }

    struct sent_probe
    {
        ports::path_probe sent;
        std::function<void(ports::probe_result)> done;
    };

    std::deque<sent_probe> probed;
    std::vector<std::shared_ptr<fake_upstream_call>> calls;
    std::vector<std::string> forgotten;
};

/// Records the response that a caller receives.
class recorded_response final : public ports::caller_channel
{
public:
    void send_response(const ports::response_head& head,
                       std::string text) override
    {
        status = head.status;
        fields = head.fields;
        body = std::move(text);
        is_complete = true;
    }

    void start_response(const ports::response_head& head) override
    {
        status = head.status;
        fields = head.fields;
    }

    void send_part(std::string part, std::function<void()> written) override
    {
        body += part;
        if (is_reading)
        {
            written();
            return;
        }
        on_written = std::move(written);
    }

    void finish_response() override
    {
        is_complete = true;
    }

    void abort_response() override
    {
        is_aborted = true;
    }

    bool has(const std::string& name) const
    {
        return ports::find_header_value(fields, name) != nullptr;
    }

    int status = 0;
    ports::header_fields fields;
    std::string body;
    bool is_complete = false;
    bool is_aborted = false;
    /// Whether the caller reads parts at once. If not, the test calls
    /// `on_written` when the last part is to be read.
    bool is_reading = true;
    std::function<void()> on_written;
};

/// A traffic dispatcher with fakes around it. It has one client account,
/// "acme", with 1,000 prepaid tokens, and one service with three upstreams of
/// four slots each. The routes are "read" (idempotent), "pay" (at most once),
/// "ask" (a resumable stream), "talk" (the same with three attempts), "once" (a
/// stream that is not resumable) and "prompt" (a stream that must carry a
/// prompt).
class exchange_fixture
{
public:
    static constexpr std::int64_t memory_limit = 64 << 20;

    exchange_fixture()
    {
        dispatcher.set_routes(
            std::make_shared<const domain::route_table>(declarations()));
        set_upstreams({"u1", "u2", "u3"});
    }

    static domain::route_declarations declarations()
    {
        using namespace std::chrono_literals;
        domain::route_declarations made;
        made.version = 1;
        const auto add = [&made](const char* name, domain::request_kind kind,
                                 bool is_resumable, int attempts)
        {
            domain::caller_route route;
            route.name = name;
            route.host = "shop.example";
            route.prefix = std::string("/") + name + "/";
            route.kind = kind;
            route.timeout = 2'000ms;
            route.objective = 400ms;
            route.services.push_back({"s", 1});
            route.max_attempts = attempts;
            route.is_resumable = is_resumable;
            made.routes.push_back(route);
        };
        add("read", domain::request_kind::idempotent, false, 2);
        add("pay", domain::request_kind::at_most_once, false, 2);
        add("ask", domain::request_kind::streaming, true, 2);
        add("talk", domain::request_kind::streaming, true, 3);
        add("once", domain::request_kind::streaming, false, 2);
        add("prompt", domain::request_kind::streaming, false, 2);
        made.routes.back().carries_prompts = true;
        made.services.push_back(
            {"s", 64, domain::engine_properties{4, 1'000, 1}});
        made.accounts.push_back({"acme", {"key"}, std::nullopt, 1'000});
        return made;
    }

    /// Replaces the upstreams by ones with the ids and four slots each.
    void set_upstreams(const std::vector<std::string>& ids)
    {
        std::vector<domain::upstream_entry> entries;
        for (const std::string& id : ids)
        {
            domain::upstream_entry entry;
            entry.id = id;
            entry.service = "s";
            entry.address = "10.0.0.1:" + std::to_string(entries.size() + 80);
            entry.slots = 4;
            entries.push_back(entry);
        }
        dispatcher.set_upstreams(entries);
    }

    /// Sets the tokens that the store has granted to this router and to all
    /// routers.
    void grant(std::int64_t tokens, std::int64_t granted_in_all)
    {
        drivers::fleet_view view;
        view.accounts["acme"].own_granted = tokens;
        view.accounts["acme"].granted_in_all = granted_in_all;
        dispatcher.set_fleet(std::move(view));
    }

    /// Sends a request to a route. `tokens` is the value of the token count
    /// field, `INPUT,OUTPUT`; the field is left out if it is empty.
    std::shared_ptr<recorded_response>
    send_request(const std::string& route, const std::string& tokens = "",
                 ports::header_fields extra_fields = {},
                 std::string body = "body")
    {
        ports::received_request request;
        request.head = {"POST", "/" + route + "/x", std::move(extra_fields)};
        request.head.fields.push_back({"Host", "shop.example"});
        request.head.fields.push_back({"X-Request-Id", "r"});
        request.head.fields.push_back({"Authorization", "Bearer key"});
        if (!tokens.empty())
        {
            request.head.fields.push_back({"X-Token-Count", tokens});
        }
        request.memory = memory_reservation(&memory, memory_kind::requests);
        request.memory.resize(static_cast<std::int64_t>(body.size()));
        request.body = std::move(body);
        request.arrived_at = clock.steady_now();
        const std::shared_ptr<recorded_response> response =
            std::make_shared<recorded_response>();
        in_flight = dispatcher.accept(std::move(request), response);
        return response;
    }

    fake_upstream_call& call(std::size_t index)
    {
        return *transport.calls.at(index);
    }

    std::size_t call_count() const
    {
        return transport.calls.size();
    }

    memory_budget memory{memory_limit};
    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    fake_upstream_transport transport;
    fakes::seeded_random random{1};
    platform::platform_dialect dialect;
    adapters::sha256_digest digest;
    fakes::counting_logger log;
    metrics::registry registry;
    drivers::traffic_metrics metrics{registry};
    drivers::traffic_settings settings{"east", {1.0, 100}};
    drivers::traffic_dispatcher dispatcher{{clock, timers, transport, random,
                                            dialect, log, metrics, digest,
                                            &memory},
                                           settings};
    std::shared_ptr<ports::exchange_in_flight> in_flight;
};

} // namespace turmeric::tests
