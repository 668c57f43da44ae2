#pragma once

#include "libraries/core/metrics/registry.hpp"
#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/traffic_desk.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "libraries/fakes/seeded_random.hpp"
#include "platform/platform_dialect.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::tests
{

/// A call that the router made, to be answered by the test.
class made_call final : public ports::upstream_call
{
public:
    made_call(ports::outgoing_call call,
              std::shared_ptr<ports::call_listener> listener)
        : sent(std::move(call))
        , m_listener(std::move(listener))
    {
    }

    void read_more() override
    {
        ++reads;
    }

    void cancel() override
    {
        is_cancelled = true;
        m_listener.reset();
    }

    void head(int status, ports::header_fields fields)
    {
        listener().on_head({status, "X", std::move(fields)});
    }

    /// Begins a signed success.
    void success()
    {
        head(200, {{"X-Server-Stamp", "s"}});
    }

    void not_executed(int status = 503)
    {
        head(status, {{"X-Not-Executed", "1"}});
        end();
    }

    void part(const std::string& bytes)
    {
        listener().on_part(bytes);
    }

    void end()
    {
        listener().on_end();
    }

    void fail(ports::transport_failure failure)
    {
        listener().on_failure(failure);
    }

    bool has_sent(const std::string& text) const
    {
        return sent.bytes.find(text) != std::string::npos;
    }

    /// Forgets who listens, as a closed connection does.
    void drop()
    {
        m_listener.reset();
        m_kept.reset();
    }

    ports::outgoing_call sent;
    bool is_cancelled = false;
    int reads = 0;

private:
    ports::call_listener& listener()
    {
        m_kept = m_listener;
        return *m_kept;
    }

    std::shared_ptr<ports::call_listener> m_listener;
    std::shared_ptr<ports::call_listener> m_kept;
};

/// Records the calls that are made.
class made_calls final : public ports::upstream_transport
{
public:
    ~made_calls() override
    {
        for (const std::shared_ptr<made_call>& call : calls)
        {
            call->drop();
        }
    }

    std::shared_ptr<ports::upstream_call>
    start(ports::outgoing_call call,
          std::shared_ptr<ports::call_listener> listener) override
    {
        calls.push_back(
            std::make_shared<made_call>(std::move(call), std::move(listener)));
        return calls.back();
    }

    void close_idle_connections(const std::string& address) override
    {
        forgotten.push_back(address);
    }

    std::vector<std::shared_ptr<made_call>> calls;
    std::vector<std::string> forgotten;
};

/// What a caller got.
class seen_answer final : public ports::caller_channel
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
        waiting = std::move(written);
    }

    void finish_response() override
    {
        is_complete = true;
    }

    void abort_response() override
    {
        is_broken_off = true;
    }

    bool has(const std::string& name) const
    {
        return ports::find_header_value(fields, name) != nullptr;
    }

    int status = 0;
    ports::header_fields fields;
    std::string body;
    bool is_complete = false;
    bool is_broken_off = false;
    bool is_reading = true;
    std::function<void()> waiting;
};

/// A traffic desk with fakes all around it.
class exchange_world
{
public:
    exchange_world()
    {
        desk.set_routes(
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
        add("once", domain::request_kind::streaming, false, 2);
        add("prompt", domain::request_kind::streaming, false, 2);
        made.routes.back().carries_prompts = true;
        made.services.push_back(
            {"s", 64, domain::engine_properties{4, 1'000, 1}});
        made.accounts.push_back({"acme", {"key"}, std::nullopt, 1'000});
        return made;
    }

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
        desk.set_upstreams(entries);
    }

    void grant(std::int64_t tokens, std::int64_t in_all)
    {
        drivers::fleet_view view;
        view.accounts["acme"].own_granted = tokens;
        view.accounts["acme"].granted_in_all = in_all;
        desk.set_fleet(std::move(view));
    }

    /// Sends a request; `tokens` as `INPUT,OUTPUT`, empty for none.
    std::shared_ptr<seen_answer> ask(const std::string& route,
                                     const std::string& tokens = "",
                                     ports::header_fields more = {})
    {
        ports::received_request request;
        request.head = {"POST", "/" + route + "/x", std::move(more)};
        request.head.fields.push_back({"Host", "shop.example"});
        request.head.fields.push_back({"X-Request-Id", "r"});
        request.head.fields.push_back({"Authorization", "Bearer key"});
        if (!tokens.empty())
        {
            request.head.fields.push_back({"X-Token-Count", tokens});
        }
        request.body = "body";
        request.arrived_at = clock.steady_now();
        const std::shared_ptr<seen_answer> answer =
            std::make_shared<seen_answer>();
        in_flight = desk.accept(std::move(request), answer);
        return answer;
    }

    made_call& call(std::size_t number)
    {
        return *transport.calls.at(number);
    }

    std::size_t calls() const
    {
        return transport.calls.size();
    }

    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    made_calls transport;
    fakes::seeded_random random{1};
    platform::platform_dialect dialect;
    fakes::counting_logger log;
    metrics::registry registry;
    drivers::traffic_metrics metrics{registry};
    drivers::traffic_settings settings{"east", {1.0, 100}};
    drivers::traffic_desk desk{
        {clock, timers, transport, random, dialect, log, metrics}, settings};
    std::shared_ptr<ports::exchange_in_flight> in_flight;
};

} // namespace turmeric::tests
