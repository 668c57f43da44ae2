#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

TEST_GROUP(blocked_prompt_group)
{
    exchange_fixture fixture;
    int requests = 0;

    std::shared_ptr<recorded_response> send_prompt(const std::string& route)
    {
        return fixture.send_request(
            route, "10,20",
            {{"X-Prompt-Prefix",
              "f1:4,dead:3,b" + std::to_string(++requests) + ":3"}});
    }

    /// Ends an upstream under the last request.
    void end_upstream()
    {
        fixture.call(fixture.call_count() - 1).fail(broken);
        fixture.timers.advance(1s);
    }

    void serve_sound_prompt()
    {
        fixture.send_request("once", "1,2", {{"X-Prompt-Prefix", "f1:1,b:1"}});
        fake_upstream_call& call = fixture.call(fixture.call_count() - 1);
        call.success();
        call.part(event(1));
        call.end();
        fixture.timers.advance(1s);
    }

    void block_part()
    {
        fixture.grant(1'000, 1'000);
        for (const char* const upstream : {"v1", "v2", "v3"})
        {
            fixture.set_upstreams({upstream});
            send_prompt("once");
            end_upstream();
            serve_sound_prompt();
        }
        fixture.set_upstreams({"u1", "u2", "u3"});
    }
};

TEST(blocked_prompt_group, a_blocked_prompt_is_refused_at_once)
{
    block_part();
    const std::size_t calls = fixture.call_count();
    const auto response = send_prompt("once");
    LONGS_EQUAL(503, response->status);
    CHECK(response->body.find("\"code\":2009") != std::string::npos);
    CHECK(response->body.find("not_run") != std::string::npos);
    CHECK_FALSE(response->has("Retry-After"));
    LONGS_EQUAL(calls, fixture.call_count());
    LONGS_EQUAL(0, fixture.dispatcher.digest().accounts["acme"].held);
}

TEST(blocked_prompt_group, requests_that_wait_for_a_slot_are_refused_too)
{
    fixture.grant(1'000, 1'000);
    fixture.set_upstreams({"v1"});
    for (int slot = 0; slot < 4; ++slot)
    {
        send_prompt("once");
    }
    const auto waiting = send_prompt("once");
    LONGS_EQUAL(4, fixture.call_count());
    const ports::steady_time now = fixture.clock.steady_now();
    domain::suspect_part blocked;
    blocked.id.value = 0xdead;
    blocked.ends = {{1, now - 3s, now - 4s},
                    {2, now - 2s, now - 2s},
                    {3, now - 1s, now - 1s}};
    blocked.last_seen = now;
    fixture.dispatcher.merge_observations({{blocked}, {}});
    fixture.call(0).fail(broken);
    LONGS_EQUAL(503, waiting->status);
    LONGS_EQUAL(4, fixture.call_count());
    LONGS_EQUAL(90, fixture.dispatcher.digest().accounts["acme"].held);
}

TEST(blocked_prompt_group, a_request_under_which_upstreams_end_is_sent_twice)
{
    // The second end under the part permits no further attempt.
    fixture.grant(1'000, 1'000);
    const auto first = send_prompt("ask");
    fixture.call(0).fail(broken);
    LONGS_EQUAL(2, fixture.call_count());
    fixture.timers.advance(500ms);
    serve_sound_prompt();
    fixture.call(1).fail(broken);
    LONGS_EQUAL(502, first->status);
    const auto second = send_prompt("ask");
    const std::size_t calls = fixture.call_count();
    fixture.call(calls - 1).fail(broken);
    LONGS_EQUAL(calls, fixture.call_count());
}
