#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <random>
#include <set>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

/// Makes a change to the fixture's configuration.
using change = void (*)(domain::route_declarations&);

void remove_routes(domain::route_declarations& changed)
{
    changed.routes.clear();
}

void remove_service(domain::route_declarations& changed)
{
    changed.services.clear();
    for (domain::caller_route& route : changed.routes)
    {
        route.services = {{"t", 1}};
    }
}

void remove_account(domain::route_declarations& changed)
{
    changed.accounts.clear();
}

void rename_account(domain::route_declarations& changed)
{
    changed.accounts[0].name = "other";
}

void spend_prepaid_total(domain::route_declarations& changed)
{
    changed.accounts[0].prepaid_tokens = 1;
}

void raise_prepaid_total(domain::route_declarations& changed)
{
    changed.accounts[0].prepaid_tokens = 100'000;
}

void remove_prepaid_total(domain::route_declarations& changed)
{
    changed.accounts[0].prepaid_tokens.reset();
}

void shorten_timeouts(domain::route_declarations& changed)
{
    for (domain::caller_route& route : changed.routes)
    {
        route.timeout = 50ms;
        route.objective = 20ms;
    }
}

void lengthen_timeouts(domain::route_declarations& changed)
{
    for (domain::caller_route& route : changed.routes)
    {
        route.timeout = 60s;
        route.objective = 30s;
    }
}

void split_routes(domain::route_declarations& changed)
{
    changed.services.push_back({"t", 64, std::nullopt});
    for (domain::caller_route& route : changed.routes)
    {
        route.services = {{"s", 1}, {"t", 3}};
    }
}

void change_nothing(domain::route_declarations& /*changed*/) {}

constexpr std::array changes = {
    &remove_routes,        &remove_service,      &remove_account,
    &rename_account,       &spend_prepaid_total, &raise_prepaid_total,
    &remove_prepaid_total, &shorten_timeouts,    &lengthen_timeouts,
    &split_routes,         &change_nothing,
};

/// An exchange fixture whose configuration changes.
class changing_fixture : public exchange_fixture
{
public:
    void apply(change made)
    {
        domain::route_declarations declarations =
            exchange_fixture::declarations();
        declarations.version = ++m_version;
        made(declarations);
        dispatcher.set_routes(std::make_shared<const domain::route_table>(
            std::move(declarations)));
    }

    /// Passes on that the router has lost its paths, with one peer left.
    void cut_paths()
    {
        drivers::fleet_view view;
        view.routers = 2;
        view.peer_paths = {{"10.0.0.9:80", "east", {}}};
        dispatcher.set_fleet(std::move(view));
        send_request("pay");
        const std::size_t first = call_count() - 1;
        for (std::size_t failed = first; failed < call_count(); ++failed)
        {
            if (call(failed).sent.address != "10.0.0.9:80")
            {
                call(failed).fail(ports::transport_failure::not_connected);
            }
        }
        while (!transport.probed.empty())
        {
            transport.finish_probe(ports::probe_result::failed);
        }
    }

private:
    std::int64_t m_version = 1;
};

/// Plays random changes of the configuration beside requests in all phases,
/// with upstreams that come, leave, refuse, break off and stay silent.
class random_play
{
public:
    explicit random_play(unsigned int seed)
        : m_draw(seed)
    {
    }

    void run()
    {
        constexpr int steps = 150;
        constexpr std::size_t max_step_ms = 30;
        for (int step = 0; step < steps; ++step)
        {
            take_step();
            fixture.timers.advance(
                std::chrono::milliseconds(pick(max_step_ms)));
        }
        // Longer than the time of any request under any of the changes.
        fixture.timers.advance(61s);
    }

    changing_fixture fixture;
    std::vector<std::shared_ptr<recorded_response>> responses;

private:
    std::size_t pick(std::size_t count)
    {
        return m_draw() % count;
    }

    void take_step()
    {
        constexpr std::size_t max_tokens = 500;
        switch (pick(6))
        {
        case 0:
            fixture.apply(changes.at(pick(changes.size())));
            return;
        case 1:
            replace_upstreams();
            return;
        case 2:
            fixture.grant(static_cast<std::int64_t>(pick(max_tokens)),
                          max_tokens);
            return;
        case 3:
            play_upstream();
            return;
        default:
            send_request();
        }
    }

    void send_request()
    {
        constexpr std::array routes = {"read", "pay", "ask", "once", "prompt"};
        responses.push_back(
            fixture.send_request(routes.at(pick(routes.size())), "10,5"));
    }

    void replace_upstreams()
    {
        std::vector<std::string> ids = {"u1", "u2", "u3"};
        ids.resize(pick(ids.size() + 1));
        fixture.set_upstreams(ids);
    }

    void play_upstream()
    {
        if (fixture.call_count() == 0)
        {
            return;
        }
        fake_upstream_call& call = fixture.call(pick(fixture.call_count()));
        if (call.is_cancelled || !m_played.insert(&call).second)
        {
            return;
        }
        switch (pick(4))
        {
        case 0:
            call.not_executed();
            return;
        case 1:
            call.fail(broken);
            return;
        case 2:
            call.success();
            call.part(event(1));
            return;
        default:
            call.success();
            call.part(event(1));
            call.end();
        }
    }

    std::mt19937 m_draw;
    std::set<const fake_upstream_call*> m_played;
};

/// Longer than the time of each request of the fixture.
constexpr std::chrono::milliseconds beyond_deadline{2'001};

} // namespace

TEST_GROUP(waiting_request_group){};

TEST(waiting_request_group, requests_that_wait_for_a_slot_get_a_response)
{
    for (const change made : changes)
    {
        changing_fixture fixture;
        fixture.set_upstreams({"u1"});
        for (int request = 0; request < 4; ++request)
        {
            fixture.send_request("pay");
        }
        const auto waiting = fixture.send_request("pay");
        fixture.apply(made);
        fixture.set_upstreams({});
        LONGS_EQUAL(0, waiting->status);
        fixture.timers.advance(200ms);
        LONGS_EQUAL(503, waiting->status);
        CHECK(waiting->is_complete);
    }
}

TEST(waiting_request_group, requests_that_wait_for_tokens_get_a_response)
{
    for (const change made : changes)
    {
        changing_fixture fixture;
        const auto waiting = fixture.send_request("ask", "10,5");
        fixture.apply(made);
        fixture.grant(0, 0);
        fixture.timers.advance(400ms);
        LONGS_EQUAL(503, waiting->status);
        LONGS_EQUAL(0, fixture.dispatcher.digest().in_flight);
        LONGS_EQUAL(0, fixture.dispatcher.digest().accounts["acme"].held);
    }
}

TEST(waiting_request_group, forwarded_requests_get_a_response)
{
    for (const change made : changes)
    {
        changing_fixture fixture;
        fixture.cut_paths();
        const auto forwarded = fixture.send_request("pay");
        STRCMP_EQUAL("10.0.0.9:80",
                     fixture.transport.calls.back()->sent.address.c_str());
        fixture.apply(made);
        LONGS_EQUAL(0, forwarded->status);
        fixture.timers.advance(beyond_deadline);
        LONGS_EQUAL(504, forwarded->status);
    }
}

TEST(waiting_request_group, requests_in_flight_get_the_upstreams_response)
{
    for (const change made : changes)
    {
        changing_fixture fixture;
        fixture.grant(100, 100);
        const auto sent = fixture.send_request("pay");
        const auto stream = fixture.send_request("ask", "10,5");
        fixture.call(1).success();
        fixture.call(1).part(event(1));
        fixture.apply(made);
        fixture.set_upstreams({});
        fixture.timers.advance(1s);
        fixture.call(0).success();
        fixture.call(0).part("whole");
        fixture.call(0).end();
        fixture.call(1).part(event(2));
        fixture.call(1).end();
        STRCMP_EQUAL("whole", sent->body.c_str());
        CHECK(sent->is_complete);
        STRCMP_EQUAL((event(1) + event(2)).c_str(), stream->body.c_str());
        CHECK(stream->is_complete);
        LONGS_EQUAL(12, fixture.dispatcher.digest().accounts["acme"].used);
    }
}

TEST(waiting_request_group, each_request_ends_in_time_beside_random_changes)
{
    constexpr unsigned int seeds = 100;
    for (unsigned int seed = 1; seed <= seeds; ++seed)
    {
        random_play play(seed);
        play.run();
        for (const auto& response : play.responses)
        {
            CHECK(response->is_complete || response->is_aborted);
            CHECK(response->status != 0);
        }
        const drivers::traffic_digest digest = play.fixture.dispatcher.digest();
        LONGS_EQUAL(0, digest.in_flight);
        for (const auto& [account, demand] : digest.accounts)
        {
            LONGS_EQUAL(0, demand.held);
            LONGS_EQUAL(0, demand.lacking);
        }
    }
}
