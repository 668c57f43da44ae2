#include "tests/exchange/exchange_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

constexpr ports::transport_failure broken = ports::transport_failure::broken;

} // namespace

TEST_GROUP(exchange_group)
{
    exchange_world world;
};

TEST(exchange_group, an_answer_is_passed_on_unchanged)
{
    const auto answer = world.ask("pay");
    CHECK(world.call(0).has_sent("X-Tenant: acme\r\n"));
    CHECK(world.call(0).has_sent("X-Request-Deadline: 2000\r\n"));
    CHECK_FALSE(world.call(0).has_sent("Bearer"));
    world.call(0).success();
    world.call(0).part("one");
    world.call(0).part("two");
    CHECK_FALSE(answer->is_complete);
    world.call(0).end();
    LONGS_EQUAL(200, answer->status);
    STRCMP_EQUAL("onetwo", answer->body.c_str());
    CHECK(answer->has("X-Server-Stamp"));
}

TEST(exchange_group, what_may_have_run_is_not_sent_again)
{
    for (const char* route : {"pay", "once"})
    {
        const std::size_t first = world.calls();
        const auto answer = world.ask(route);
        world.call(first).fail(broken);
        LONGS_EQUAL(first + 1, world.calls());
        LONGS_EQUAL(502, answer->status);
        CHECK_FALSE(answer->has("Retry-After"));
    }
}

TEST(exchange_group, what_did_not_run_goes_elsewhere)
{
    const auto answer = world.ask("pay");
    world.call(0).not_executed();
    LONGS_EQUAL(2, world.calls());
    CHECK(world.call(0).sent.address != world.call(1).sent.address);
    world.call(1).not_executed(421);
    LONGS_EQUAL(2, world.calls());
    LONGS_EQUAL(503, answer->status);
    CHECK(answer->has("Retry-After"));
}

TEST(exchange_group, a_refusal_after_a_run_does_not_say_not_run)
{
    const auto answer = world.ask("read");
    world.call(0).fail(broken);
    world.call(1).not_executed();
    LONGS_EQUAL(502, answer->status);
}

TEST(exchange_group, no_connection_is_no_attempt)
{
    const auto answer = world.ask("pay");
    world.call(0).fail(ports::transport_failure::not_connected);
    world.call(1).fail(ports::transport_failure::not_connected);
    world.call(2).success();
    world.call(2).end();
    LONGS_EQUAL(200, answer->status);
}

TEST(exchange_group, an_upstreams_own_promise_is_not_passed_on)
{
    const auto answer = world.ask("pay");
    world.call(0).head(503, {{"X-Server-Stamp", "s"}});
    world.call(0).end();
    LONGS_EQUAL(502, answer->status);
}

TEST(exchange_group, an_unsigned_or_encoded_success_is_no_answer)
{
    const auto unsigned_answer = world.ask("pay");
    world.call(0).head(200, {});
    world.call(0).end();
    LONGS_EQUAL(502, unsigned_answer->status);
    const auto encoded = world.ask("pay");
    world.call(1).head(200,
                       {{"X-Server-Stamp", "s"}, {"Content-Encoding", "gzip"}});
    world.call(1).end();
    LONGS_EQUAL(502, encoded->status);
}

TEST(exchange_group, a_failure_of_an_idempotent_request_is_tried_once_more)
{
    const auto answer = world.ask("read");
    world.call(0).head(500, {{"X-Server-Stamp", "s"}});
    world.call(0).end();
    world.call(1).head(500, {{"X-Server-Stamp", "s2"}});
    world.call(1).part("why");
    world.call(1).end();
    LONGS_EQUAL(2, world.calls());
    LONGS_EQUAL(500, answer->status);
    STRCMP_EQUAL("why", answer->body.c_str());
}

TEST(exchange_group, a_broken_stream_goes_on_after_its_last_event)
{
    const auto answer = world.ask("ask", "10,5");
    world.grant(500, 500);
    world.call(0).success();
    world.call(0).part(event(1) + event(2) + "id: 3\nda");
    STRCMP_EQUAL((event(1) + event(2)).c_str(), answer->body.c_str());
    world.call(0).fail(broken);
    CHECK(world.call(1).has_sent("Last-Event-Id: 2\r\n"));
    world.call(1).success();
    world.call(1).part(event(3));
    world.call(1).end();
    STRCMP_EQUAL((event(1) + event(2) + event(3)).c_str(),
                 answer->body.c_str());
    CHECK(answer->is_complete);
}

TEST(exchange_group, a_stream_that_may_not_resume_is_broken_off)
{
    const auto answer = world.ask("once");
    world.call(0).success();
    world.call(0).part(event(1));
    world.call(0).fail(broken);
    CHECK(answer->is_broken_off);
    CHECK_FALSE(answer->is_complete);
}

TEST(exchange_group, a_body_that_ends_within_an_event_is_not_complete)
{
    const auto answer = world.ask("once");
    world.call(0).success();
    world.call(0).part(event(1) + "id: 2\n");
    world.call(0).end();
    CHECK(answer->is_broken_off);
}

TEST(exchange_group, a_slow_reader_holds_the_upstream_back)
{
    const auto answer = world.ask("once");
    answer->is_reading = false;
    world.call(0).success();
    world.call(0).part(event(1));
    LONGS_EQUAL(0, world.call(0).reads);
    answer->waiting();
    LONGS_EQUAL(1, world.call(0).reads);
}

TEST(exchange_group, a_caller_that_leaves_cancels_the_call)
{
    world.ask("once");
    world.in_flight->on_caller_disconnected();
    CHECK(world.call(0).is_cancelled);
    LONGS_EQUAL(0, world.desk.digest().in_flight);
    LONGS_EQUAL(0, world.desk.digest().load.size());
}

TEST(exchange_group, the_deadline_ends_what_was_sent)
{
    const auto answer = world.ask("pay", "", {{"X-Request-Deadline", "700"}});
    world.timers.advance(699ms);
    LONGS_EQUAL(0, answer->status);
    world.timers.advance(2ms);
    LONGS_EQUAL(504, answer->status);
    CHECK(world.call(0).is_cancelled);
    const auto stream = world.ask("once");
    world.call(1).success();
    world.call(1).part(event(1));
    world.timers.advance(2'001ms);
    CHECK(stream->is_broken_off);
}

TEST(exchange_group, unknown_is_not_no)
{
    exchange_world fresh;
    fresh.desk.set_routes(std::make_shared<const domain::route_table>(
        domain::route_declarations{}));
    LONGS_EQUAL(404, fresh.ask("pay")->status);
    drivers::traffic_desk empty{{fresh.clock, fresh.timers, fresh.transport,
                                 fresh.random, fresh.dialect, fresh.log,
                                 fresh.metrics},
                                fresh.settings};
    ports::received_request request;
    request.head = {"GET", "/x", {{"X-Request-Id", "r"}}};
    const auto answer = std::make_shared<seen_answer>();
    empty.accept(std::move(request), answer);
    LONGS_EQUAL(503, answer->status);
    CHECK(answer->has("Retry-After"));
}

TEST(exchange_group, a_stopping_router_refuses_after_a_while)
{
    world.desk.stop();
    world.ask("pay");
    LONGS_EQUAL(1, world.calls());
    world.timers.advance(3s);
    LONGS_EQUAL(503, world.ask("pay")->status);
}

TEST(exchange_group, requests_wait_while_all_places_are_taken)
{
    world.set_upstreams({"u1"});
    for (int number = 0; number < 4; ++number)
    {
        world.ask("pay");
    }
    const auto waiting = world.ask("pay");
    LONGS_EQUAL(4, world.calls());
    world.call(0).success();
    world.call(0).end();
    LONGS_EQUAL(5, world.calls());
    const auto late = world.ask("pay");
    world.timers.advance(500ms);
    LONGS_EQUAL(503, late->status);
    LONGS_EQUAL(0, waiting->status);
}

TEST_GROUP(prepaid_exchange_group)
{
    exchange_world world;
    int asked = 0;

    void setup() override
    {
        world.desk.on_need([this] { ++asked; });
    }
};

TEST(prepaid_exchange_group, nothing_is_sent_without_a_grant)
{
    const auto answer = world.ask("ask", "10,5");
    LONGS_EQUAL(0, world.calls());
    LONGS_EQUAL(1, asked);
    world.grant(15, 15);
    LONGS_EQUAL(1, world.calls());
    const auto next = world.ask("ask", "10,5");
    LONGS_EQUAL(1, world.calls());
    world.timers.advance(500ms);
    LONGS_EQUAL(503, next->status);
    LONGS_EQUAL(0, answer->status);
}

TEST(prepaid_exchange_group, what_does_not_fit_into_the_rest_is_refused)
{
    const auto answer = world.ask("ask", "900,200");
    LONGS_EQUAL(402, answer->status);
}

TEST(prepaid_exchange_group, a_prompt_whose_size_is_not_told_is_refused)
{
    world.grant(100, 100);
    for (const char* counts : {"", "many", "9223372036854775807,10"})
    {
        const auto answer = world.ask("prompt", counts);
        LONGS_EQUAL(400, answer->status);
    }
    LONGS_EQUAL(0, world.calls());
    world.ask("prompt", "10,5");
    LONGS_EQUAL(1, world.calls());
}

TEST(prepaid_exchange_group, only_delivered_events_are_charged)
{
    world.grant(100, 100);
    world.ask("ask", "10,50");
    world.call(0).success();
    world.call(0).part(event(1) + event(2));
    world.call(0).end();
    LONGS_EQUAL(12, world.desk.digest().accounts["acme"].used);
    LONGS_EQUAL(88, world.desk.digest().accounts["acme"].free);
}

TEST(prepaid_exchange_group, what_did_not_run_is_not_charged)
{
    world.grant(100, 100);
    world.ask("once", "10,50");
    world.call(0).not_executed();
    world.call(1).not_executed();
    LONGS_EQUAL(0, world.desk.digest().accounts["acme"].used);
    LONGS_EQUAL(100, world.desk.digest().accounts["acme"].free);
}

TEST(prepaid_exchange_group, waiting_requests_ask_once_and_keep_their_turn)
{
    // Each grant once made all waiting requests ask again, which brought the
    // next grant: a loop that took the whole processor.
    std::vector<std::shared_ptr<seen_answer>> answers;
    for (int number = 0; number < 50; ++number)
    {
        answers.push_back(world.ask("ask", "8,2"));
    }
    LONGS_EQUAL(1, asked);
    world.grant(20, 20);
    LONGS_EQUAL(1, asked);
    LONGS_EQUAL(2, world.calls());
    LONGS_EQUAL(480, world.desk.digest().accounts["acme"].lacking);
    for (int number = 0; number < 20; ++number)
    {
        world.grant(20, 20);
    }
    LONGS_EQUAL(1, asked);
    world.call(0).fail(broken);
    world.timers.advance(401ms);
    LONGS_EQUAL(503, answers.back()->status);
    LONGS_EQUAL(0, world.desk.digest().accounts["acme"].lacking);
}

TEST(prepaid_exchange_group, a_request_that_nobody_can_pay_for_ends_at_once)
{
    drivers::fleet_view view;
    view.accounts["acme"].granted_in_all = 1'000;
    world.desk.set_fleet(std::move(view));
    const auto answer = world.ask("ask", "10,5");
    LONGS_EQUAL(503, answer->status);
    CHECK(answer->has("Retry-After"));
    LONGS_EQUAL(0, asked);
}

TEST(prepaid_exchange_group, a_silent_store_spreads_what_is_left)
{
    world.grant(90, 90);
    drivers::fleet_view view;
    view.accounts["acme"].own_granted = 90;
    view.store_silent_since = world.clock.steady_now();
    world.desk.set_fleet(view);
    world.ask("ask", "10,20");
    const auto too_soon = world.ask("ask", "10,20");
    LONGS_EQUAL(1, world.calls());
    LONGS_EQUAL(503, too_soon->status);
    CHECK(too_soon->has("Retry-After"));
    view.store_silent_since.reset();
    world.desk.set_fleet(view);
    world.ask("ask", "10,20");
    LONGS_EQUAL(2, world.calls());
}

TEST(prepaid_exchange_group, nothing_is_spread_while_a_peer_can_lend)
{
    drivers::fleet_view view;
    view.accounts["acme"].own_granted = 90;
    view.store_silent_since = world.clock.steady_now();
    view.is_peer_in_touch = true;
    world.desk.set_fleet(view);
    world.ask("ask", "10,20");
    world.ask("ask", "10,20");
    LONGS_EQUAL(2, world.calls());
}

TEST(prepaid_exchange_group, released_tokens_are_not_spent_here)
{
    world.grant(100, 100);
    LONGS_EQUAL(80, world.desk.release("acme", 80));
    LONGS_EQUAL(20, world.desk.release("acme", 80));
    world.grant(100, 100);
    LONGS_EQUAL(0, world.desk.digest().accounts["acme"].free);
    world.grant(150, 150);
    LONGS_EQUAL(50, world.desk.digest().accounts["acme"].free);
}
