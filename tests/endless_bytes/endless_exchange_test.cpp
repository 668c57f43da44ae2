#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <string_view>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t part_bytes = 16 << 10;
/// More parts than an attempt may keep.
constexpr int many_parts = 256;

/// Returns what an attempt may keep of a response, and one part beyond it.
std::size_t max_kept_bytes()
{
    return drivers::traffic_settings{}.max_buffered_bytes + part_bytes;
}

/// Plays a response without end on the call with the index `index`. Returns
/// the bytes sent until the router has cancelled the call, or `many_parts`
/// parts.
std::size_t send_endless_body(exchange_fixture& fixture, std::size_t index,
                              const std::string& part)
{
    std::size_t sent = 0;
    for (int number = 0;
         number < many_parts && !fixture.call(index).is_cancelled; ++number)
    {
        fixture.call(index).part(part);
        sent += part.size();
    }
    return sent;
}

/// Returns `unit` repeated to a part of a body.
std::string repeat(const std::string& unit)
{
    std::string part;
    while (part.size() < part_bytes)
    {
        part += unit;
    }
    return part;
}

} // namespace

TEST_GROUP(endless_exchange_group)
{
    exchange_fixture fixture;

    void expect_cut(std::size_t index, const std::string& part)
    {
        CHECK(send_endless_body(fixture, index, part) <= max_kept_bytes());
        CHECK(fixture.call(index).is_cancelled);
    }
};

TEST(endless_exchange_group, a_failure_without_end_is_no_response)
{
    const auto response = fixture.send_request("pay");
    fixture.call(0).head(500, {});
    expect_cut(0, repeat("x"));
    LONGS_EQUAL(502, response->status);
    CHECK(response->is_complete);
    LONGS_EQUAL(1, fixture.call_count());
}

TEST(endless_exchange_group, a_failure_without_end_is_sent_again_if_idempotent)
{
    const auto response = fixture.send_request("read");
    fixture.call(0).head(500, {});
    expect_cut(0, repeat("x"));
    LONGS_EQUAL(2, fixture.call_count());
    fixture.call(1).success();
    fixture.call(1).part("fine");
    fixture.call(1).end();
    LONGS_EQUAL(200, response->status);
    STRCMP_EQUAL("fine", response->body.c_str());
}

TEST(endless_exchange_group, a_refusal_without_end_is_sent_to_another_upstream)
{
    for (const int status : {503, 429})
    {
        exchange_fixture refusing;
        const auto response = refusing.send_request("pay");
        refusing.call(0).head(status, {{"X-Not-Executed", "1"}});
        CHECK(send_endless_body(refusing, 0, repeat("x")) <= max_kept_bytes());
        LONGS_EQUAL(2, refusing.call_count());
        refusing.call(1).success();
        refusing.call(1).end();
        LONGS_EQUAL(200, response->status);
    }
}

TEST(endless_exchange_group, an_event_without_end_fails_its_stream)
{
    for (const char* unit : {"x", ": comment\n", "data: x\n"})
    {
        exchange_fixture streaming;
        const auto response = streaming.send_request("once");
        streaming.call(0).success();
        CHECK(send_endless_body(streaming, 0, repeat(unit)) <=
              max_kept_bytes());
        LONGS_EQUAL(502, response->status);
    }
}

TEST(endless_exchange_group, an_event_without_end_breaks_off_its_stream)
{
    const auto response = fixture.send_request("once");
    fixture.call(0).success();
    fixture.call(0).part(event(1));
    expect_cut(0, repeat("x"));
    CHECK(response->is_aborted);
    STRCMP_EQUAL(event(1).c_str(), response->body.c_str());
}

TEST(endless_exchange_group, an_event_without_end_resumes_its_stream_elsewhere)
{
    const auto response = fixture.send_request("ask");
    fixture.call(0).success();
    fixture.call(0).part(event(1));
    expect_cut(0, repeat("x"));
    fixture.call(1).success();
    fixture.call(1).part(event(2));
    fixture.call(1).end();
    CHECK(response->is_complete);
    STRCMP_EQUAL((event(1) + event(2)).c_str(), response->body.c_str());
}

TEST(endless_exchange_group, a_body_without_end_waits_for_a_caller_that_reads)
{
    for (const char* route : {"read", "pay", "once"})
    {
        exchange_fixture waiting;
        const auto response = waiting.send_request(route);
        response->is_reading = false;
        fake_upstream_call& call = waiting.call(0);
        call.success();
        int parts = 0;
        // A part follows only what was read.
        while (parts == call.read_count && parts < many_parts)
        {
            call.part(repeat(": comment\n\n"));
            ++parts;
        }
        CHECK(parts * part_bytes <= max_kept_bytes());
        CHECK(response->body.size() <= max_kept_bytes());
        CHECK(response->on_written != nullptr);
        waiting.timers.advance(3s);
        CHECK(call.is_cancelled);
        CHECK(response->is_aborted);
    }
}

TEST(endless_exchange_group, a_body_without_end_ends_at_its_deadline)
{
    for (const char* route : {"read", "pay", "once"})
    {
        exchange_fixture reading;
        const auto response = reading.send_request(route);
        reading.call(0).success();
        while (!response->is_aborted && response->body.size() < (4U << 20))
        {
            reading.call(0).part(repeat(": comment\n\n"));
            reading.timers.advance(100ms);
        }
        CHECK(reading.call(0).is_cancelled);
        CHECK(response->is_aborted);
    }
}

TEST(endless_exchange_group, old_events_without_end_are_not_kept)
{
    const auto response = fixture.send_request("once");
    fixture.call(0).success();
    fixture.call(0).part(event(1));
    LONGS_EQUAL(many_parts * repeat(event(1)).size(),
                send_endless_body(fixture, 0, repeat(event(1))));
    STRCMP_EQUAL(event(1).c_str(), response->body.c_str());
    fixture.timers.advance(3s);
    CHECK(response->is_aborted);
}

TEST(endless_exchange_group, a_response_without_end_of_a_peer_is_cut)
{
    for (const char* route : {"pay", "once"})
    {
        for (const int status : {200, 500, 503})
        {
            // A success that is no stream is relayed as it arrives.
            if (status == 200 && std::string_view(route) == "pay")
            {
                continue;
            }
            exchange_fixture forwarding;
            drivers::fleet_view view;
            view.routers = 2;
            view.peer_paths.push_back({"10.1.0.0:9000", "east", {}});
            forwarding.dispatcher.set_fleet(std::move(view));
            const auto response = forwarding.send_request(route);
            std::size_t last = 0;
            while (!forwarding.call(last).sent.address.starts_with("10.1."))
            {
                forwarding.call(last++).fail(
                    ports::transport_failure::not_connected);
            }
            forwarding.call(last).head(
                status, {{"X-Server-Stamp", "s"}, {"X-Request-Id", "r"}});
            CHECK(send_endless_body(forwarding, last, repeat("x")) <=
                  max_kept_bytes());
            CHECK(forwarding.call(last).is_cancelled);
            LONGS_EQUAL(502, response->status);
            CHECK(response->is_complete);
        }
    }
}
