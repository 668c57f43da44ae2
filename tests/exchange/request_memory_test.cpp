#include <rapidcheck.h>

#include "tests/exchange/exchange_fixture.hpp"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t body_bytes = 2 << 20;

/// Brings requests with bodies to an end in any way, in any order.
class random_ends
{
public:
    void step()
    {
        switch (*rc::gen::inRange(0, 8))
        {
        case 0:
        case 1:
            start_request();
            break;
        case 2:
            end_call([](fake_upstream_call& call) { call.fail(broken); });
            break;
        case 3:
            end_call([](fake_upstream_call& call)
                     { call.fail(ports::transport_failure::not_connected); });
            break;
        case 4:
            end_call([](fake_upstream_call& call) { call.not_executed(); });
            break;
        case 5:
            end_call(
                [](fake_upstream_call& call)
                {
                    call.success();
                    call.part(event(1));
                    call.end();
                });
            break;
        case 6:
            disconnect_caller();
            break;
        default:
            fixture.timers.advance(
                std::chrono::milliseconds(*rc::gen::inRange(1, 900)));
            break;
        }
    }

    void end_all()
    {
        // The longest timeout of a route is over.
        fixture.timers.advance(3s);
        for (const auto& call : fixture.transport.calls)
        {
            call->sent = {};
            call->drop();
        }
        m_in_flight.clear();
        fixture.in_flight.reset();
    }

    exchange_fixture fixture;

private:
    void start_request()
    {
        const std::string route = *rc::gen::elementOf(
            std::vector<std::string>{"read", "pay", "ask", "once"});
        const std::size_t bytes = *rc::gen::elementOf(
            std::vector<std::size_t>{0, 10, 70'000, 300'000});
        fixture.send_request(route, "", {}, std::string(bytes, 'x'));
        m_in_flight.push_back(fixture.in_flight);
        m_is_ended.resize(fixture.call_count());
    }

    template <class Action>
    void end_call(const Action& action)
    {
        m_is_ended.resize(fixture.call_count());
        for (std::size_t index = 0; index < fixture.call_count(); ++index)
        {
            if (!m_is_ended[index] && !fixture.call(index).is_cancelled)
            {
                m_is_ended[index] = true;
                action(fixture.call(index));
                return;
            }
        }
    }

    void disconnect_caller()
    {
        if (!m_in_flight.empty() && m_in_flight.back() != nullptr)
        {
            m_in_flight.back()->on_caller_disconnected(
                ports::close_reason::caller_reset);
            m_in_flight.pop_back();
        }
    }

    std::vector<std::shared_ptr<ports::exchange_in_flight>> m_in_flight;
    std::vector<bool> m_is_ended;
};

} // namespace

TEST_GROUP(request_memory_group)
{
    exchange_fixture fixture;

    void send_large(const std::string& route)
    {
        fixture.send_request(route, "", {}, std::string(body_bytes, 'x'));
    }

    std::int64_t used_bodies()
    {
        return fixture.memory.used(memory_kind::requests);
    }
};

// Guards against a body that is held once for retries and once for its call.
TEST(request_memory_group, a_body_is_held_once)
{
    send_large("read");
    LONGS_EQUAL(body_bytes, fixture.call(0).sent.body->bytes.size());
    CHECK(fixture.call(0).sent.bytes.size() < 1'000);
    CHECK(used_bodies() >= static_cast<std::int64_t>(body_bytes));
    CHECK(used_bodies() < static_cast<std::int64_t>(body_bytes) * 3 / 2);
    const void* const first = fixture.call(0).sent.body->bytes.data();
    fixture.call(0).fail(broken);
    POINTERS_EQUAL(first, fixture.call(1).sent.body->bytes.data());
}

TEST(request_memory_group, a_body_that_cannot_be_sent_again_is_released)
{
    send_large("pay");
    // The connection has sent it.
    fixture.call(0).sent = {};
    CHECK(used_bodies() >= static_cast<std::int64_t>(body_bytes));
    fixture.call(0).success();
    CHECK(used_bodies() < 100'000);
}

TEST(request_memory_group, a_body_that_may_be_sent_again_is_kept)
{
    send_large("pay");
    fixture.call(0).sent = {};
    fixture.call(0).not_executed();
    LONGS_EQUAL(body_bytes, fixture.call(1).sent.body->bytes.size());
    send_large("ask");
    fixture.call(2).sent = {};
    fixture.call(2).success();
    fixture.call(2).part(event(1));
    fixture.call(2).fail(broken);
    LONGS_EQUAL(body_bytes, fixture.call(3).sent.body->bytes.size());
}

TEST(request_memory_group, a_request_whose_body_finds_no_memory_is_not_run)
{
    for (const ports::body_refusal refusal :
         {ports::body_refusal::no_memory_now,
          ports::body_refusal::exceeds_memory})
    {
        ports::received_request request;
        request.head = {"POST",
                        "/pay/x",
                        {{"Host", "shop.example"},
                         {"X-Request-Id", "r"},
                         {"Authorization", "Bearer key"}}};
        request.refusal = refusal;
        const auto response = std::make_shared<recorded_response>();
        CHECK(fixture.dispatcher.accept(std::move(request), response) ==
              nullptr);
        LONGS_EQUAL(0, fixture.call_count());
        LONGS_EQUAL(503, response->status);
        CHECK_EQUAL(refusal == ports::body_refusal::no_memory_now,
                    response->has("Retry-After"));
    }
}

TEST(request_memory_group, requests_beyond_the_memory_are_refused)
{
    memory_reservation other(&fixture.memory, memory_kind::responses);
    other.resize(exchange_fixture::memory_limit);
    LONGS_EQUAL(503, fixture.send_request("pay")->status);
    other.resize(0);
    LONGS_EQUAL(0, fixture.send_request("pay")->status);
}

TEST(request_memory_group, a_response_is_forwarded_at_once_if_memory_is_full)
{
    const auto response = fixture.send_request("read");
    memory_reservation other(&fixture.memory, memory_kind::responses);
    other.resize(exchange_fixture::memory_limit);
    fixture.call(0).success();
    fixture.call(0).part("one");
    STRCMP_EQUAL("one", response->body.c_str());
    fixture.call(0).part("two");
    fixture.call(0).end();
    STRCMP_EQUAL("onetwo", response->body.c_str());
    CHECK(response->is_complete);
}

TEST(request_memory_group, large_incomplete_events_end_when_memory_is_full)
{
    const auto stream = fixture.send_request("once");
    fixture.call(0).success();
    fixture.call(0).part(event(1) + std::string(10'000, 'x'));
    memory_reservation other(&fixture.memory, memory_kind::responses);
    other.resize(exchange_fixture::memory_limit);
    fixture.call(0).part(std::string(4'000, 'x'));
    CHECK_FALSE(stream->is_aborted);
    fixture.call(0).part(std::string(4'000, 'x'));
    CHECK(stream->is_aborted);
}

// Guards against memory that stays counted after its request, by which a
// router would refuse requests for good.
TEST(request_memory_group, all_memory_comes_back_however_requests_end)
{
    CHECK(rc::check("nothing is counted after the end of all requests",
                    []
                    {
                        random_ends ends;
                        const int steps = *rc::gen::inRange(1, 40);
                        for (int step = 0; step < steps; ++step)
                        {
                            ends.step();
                        }
                        ends.end_all();
                        RC_ASSERT(ends.fixture.memory.used() == 0);
                    }));
}
