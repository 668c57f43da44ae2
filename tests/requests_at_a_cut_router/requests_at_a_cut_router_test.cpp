#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr ports::transport_failure not_connected =
    ports::transport_failure::not_connected;
constexpr const char* marker = "X-Forwarded-By-Router: ";

/// Returns the state of a fleet with `peers` routers besides this one that
/// reach all services.
drivers::fleet_view fleet_of(int peers, std::int64_t tokens = 0)
{
    drivers::fleet_view view;
    view.routers = peers + 1;
    for (int peer = 0; peer < peers; ++peer)
    {
        view.peer_paths.push_back(
            {"10.1.0." + std::to_string(peer) + ":9000", "east", {}});
    }
    view.accounts["acme"].own_granted = tokens;
    view.accounts["acme"].granted_in_all = tokens;
    return view;
}

const ports::header_fields event_stream_fields = {
    {"X-Server-Stamp", "s"},
    {"X-Request-Id", "r"},
    {"Content-Type", "text/event-stream"}};

} // namespace

// Guards against a router that has lost its paths to all upstreams refusing its
// callers' requests while its peers reach the upstreams.
TEST_GROUP(cut_router_group)
{
    exchange_fixture fixture;

    void setup() override
    {
        fixture.dispatcher.set_fleet(fleet_of(2, 500));
    }

    fake_upstream_call& last_call()
    {
        return fixture.call(fixture.call_count() - 1);
    }

    bool is_peer_call(std::size_t index)
    {
        return fixture.call(index).sent.address.starts_with("10.1.0.");
    }

    /// Sends a request whose connections to upstreams fail until a peer is
    /// called, or the request has ended.
    std::shared_ptr<recorded_response> send_through_peer(
        const std::string& route, const std::string& tokens = "",
        ports::header_fields extra_fields = {})
    {
        const std::size_t first = fixture.call_count();
        const auto response =
            fixture.send_request(route, tokens, std::move(extra_fields));
        for (std::size_t next = first;
             next < fixture.call_count() && !is_peer_call(next); ++next)
        {
            fixture.call(next).fail(not_connected);
        }
        return response;
    }

    /// Makes the router find out that it has lost all paths: connections to
    /// upstreams fail, with and without a request.
    void lose_paths(ports::probe_result result = ports::probe_result::failed)
    {
        send_through_peer("pay");
        fixture.in_flight->on_caller_disconnected(
            ports::close_reason::caller_closed);
        while (!fixture.transport.probed.empty())
        {
            fixture.transport.finish_probe(result);
        }
        CHECK(fixture.dispatcher.digest().cut_off_services.contains("s"));
    }

    /// Plays the head of a success of the last call.
    void answer_last_call()
    {
        last_call().head(200, {{"X-Server-Stamp", "s"}, {"X-Request-Id", "r"}});
    }

    /// Plays a stream that breaks off after two events at an upstream and is to
    /// be resumed through a peer by the last call.
    std::shared_ptr<recorded_response> break_stream_off()
    {
        auto response = fixture.send_request("ask", "10,50");
        last_call().head(200, event_stream_fields);
        last_call().part(event(1) + event(2));
        last_call().fail(broken);
        last_call().fail(not_connected);
        last_call().fail(not_connected);
        CHECK(is_peer_call(fixture.call_count() - 1));
        return response;
    }

    /// Plays the peer's own refusal of the last call.
    void refuse_last_call(int status, const std::string& stage)
    {
        last_call().head(status, {{"X-Request-Id", "r"},
                                  {"Retry-After", "0.125"},
                                  {"X-Forwarded-By-Router", stage}});
        last_call().part("why");
        last_call().end();
    }

    std::int64_t used_tokens()
    {
        return fixture.dispatcher.digest().accounts["acme"].used;
    }

    std::int64_t held_tokens()
    {
        return fixture.dispatcher.digest().accounts["acme"].held;
    }
};

TEST(cut_router_group, a_request_without_a_connection_goes_through_a_peer)
{
    const auto response = send_through_peer(
        "pay", "", {{"X-Request-Deadline", "700"}, {"X-Own", "v"}});
    CHECK(last_call().has_sent("POST /pay/x HTTP/1.1\r\n"));
    CHECK(last_call().has_sent("Host: shop.example\r\n"));
    CHECK(last_call().has_sent("X-Request-Id: r\r\n"));
    CHECK(last_call().has_sent("Authorization: Bearer key\r\n"));
    CHECK(last_call().has_sent("X-Own: v\r\n"));
    CHECK(last_call().has_sent("\r\n\r\nbody"));
    CHECK(last_call().has_sent(std::string(marker) + "2\r\n"));
    answer_last_call();
    last_call().part("one");
    last_call().part("two");
    CHECK_FALSE(response->is_complete);
    last_call().end();
    LONGS_EQUAL(200, response->status);
    CHECK(response->has("X-Server-Stamp"));
    STRCMP_EQUAL("onetwo", response->body.c_str());
    LONGS_EQUAL(0, fixture.dispatcher.digest().in_flight);
    LONGS_EQUAL(0, fixture.dispatcher.digest().load.size());
}

TEST(cut_router_group, an_upstreams_failure_is_relayed_unchanged)
{
    const auto response = send_through_peer("pay");
    last_call().head(500, {{"X-Server-Stamp", "s"}, {"X-Request-Id", "r"}});
    last_call().part("why");
    last_call().end();
    LONGS_EQUAL(500, response->status);
    STRCMP_EQUAL("why", response->body.c_str());
    CHECK(response->has("X-Server-Stamp"));
}

TEST(cut_router_group, the_peer_gets_the_time_that_is_left)
{
    fixture.send_request("pay", "", {{"X-Request-Deadline", "700"}});
    fixture.timers.advance(100ms);
    fixture.call(0).fail(not_connected);
    fixture.timers.advance(100ms);
    fixture.call(1).fail(not_connected);
    CHECK(last_call().has_sent("X-Request-Deadline: 500\r\n"));
    CHECK_FALSE(last_call().has_sent("700"));
}

TEST(cut_router_group, the_deadline_ends_the_call_to_the_peer)
{
    const auto response =
        send_through_peer("pay", "", {{"X-Request-Deadline", "700"}});
    fixture.timers.advance(701ms);
    LONGS_EQUAL(504, response->status);
    CHECK_FALSE(response->has("Retry-After"));
    CHECK(last_call().is_cancelled);
}

TEST(cut_router_group, a_stream_through_a_peer_waits_for_a_slow_reader)
{
    const auto response = send_through_peer("once");
    response->is_reading = false;
    answer_last_call();
    last_call().part(event(1) + "id: 2\nda");
    STRCMP_EQUAL(event(1).c_str(), response->body.c_str());
    LONGS_EQUAL(0, last_call().read_count);
    response->on_written();
    LONGS_EQUAL(1, last_call().read_count);
    last_call().part("ta: x\n\n");
    response->on_written();
    last_call().end();
    STRCMP_EQUAL((event(1) + event(2)).c_str(), response->body.c_str());
    CHECK(response->is_complete);
}

TEST(cut_router_group, a_caller_that_leaves_ends_the_call_to_the_peer)
{
    send_through_peer("once");
    answer_last_call();
    last_call().part(event(1));
    fixture.in_flight->on_caller_disconnected(
        ports::close_reason::caller_closed);
    CHECK(last_call().is_cancelled);
    LONGS_EQUAL(0, fixture.dispatcher.digest().in_flight);
}

TEST(cut_router_group, a_stream_whose_peer_ends_is_aborted)
{
    for (const char* route : {"once", "ask"})
    {
        const auto response = send_through_peer(route);
        const std::size_t calls = fixture.call_count();
        answer_last_call();
        last_call().part(event(1));
        last_call().fail(broken);
        CHECK(response->is_aborted);
        CHECK_FALSE(response->is_complete);
        LONGS_EQUAL(calls, fixture.call_count());
    }
}

TEST(cut_router_group, a_stream_that_ends_within_an_event_is_aborted)
{
    const auto response = send_through_peer("once");
    answer_last_call();
    last_call().part(event(1) + "id: 2\nda");
    last_call().end();
    CHECK(response->is_aborted);
    CHECK_FALSE(response->is_complete);
}

TEST(cut_router_group, a_broken_call_to_a_peer_has_an_unknown_outcome)
{
    for (const char* route : {"pay", "once", "read"})
    {
        const auto response = send_through_peer(route);
        const std::size_t calls = fixture.call_count();
        last_call().fail(broken);
        LONGS_EQUAL(502, response->status);
        CHECK_FALSE(response->has("Retry-After"));
        LONGS_EQUAL(calls, fixture.call_count());
    }
}

TEST(cut_router_group, a_refusal_of_a_peer_is_relayed)
{
    const auto response = send_through_peer("pay");
    const std::size_t calls = fixture.call_count();
    refuse_last_call(503, "not_run");
    LONGS_EQUAL(calls, fixture.call_count());
    LONGS_EQUAL(503, response->status);
    STRCMP_EQUAL("why", response->body.c_str());
    CHECK(response->has("Retry-After"));
    CHECK_FALSE(response->has("X-Forwarded-By-Router"));
}

TEST(cut_router_group, a_request_that_a_peer_did_not_send_goes_to_one_other)
{
    fixture.dispatcher.set_fleet(fleet_of(6, 500));
    const auto response = send_through_peer("pay");
    const std::size_t calls = fixture.call_count();
    const std::string first = last_call().sent.address;
    refuse_last_call(503, "not_sent");
    LONGS_EQUAL(calls + 1, fixture.call_count());
    CHECK(first != last_call().sent.address);
    refuse_last_call(503, "not_sent");
    LONGS_EQUAL(calls + 1, fixture.call_count());
    LONGS_EQUAL(503, response->status);
}

TEST(cut_router_group, a_status_of_an_unmarked_response_is_no_promise)
{
    for (const int status : {408, 421, 429, 503})
    {
        for (const char* stage : {"", "outcome_unknown"})
        {
            const auto response = send_through_peer("pay");
            last_call().head(status, {{"X-Request-Id", "r"},
                                      {"X-Not-Executed", "1"},
                                      {"X-Forwarded-By-Router", stage}});
            last_call().end();
            LONGS_EQUAL(502, response->status);
        }
        const auto without_id = send_through_peer("pay");
        last_call().head(status, {{"X-Forwarded-By-Router", "not_run"}});
        last_call().end();
        LONGS_EQUAL(502, without_id->status);
    }
}

TEST(cut_router_group, a_peer_with_another_configuration_is_not_believed)
{
    for (const int status : {401, 404})
    {
        const auto response = send_through_peer("pay");
        refuse_last_call(status, "not_run");
        LONGS_EQUAL(503, response->status);
        CHECK(response->has("Retry-After"));
    }
}

TEST(cut_router_group, an_account_without_tokens_is_refused_at_one_peer)
{
    fixture.dispatcher.set_fleet(fleet_of(6, 500));
    const auto response = send_through_peer("once", "10,5");
    const std::size_t calls = fixture.call_count();
    refuse_last_call(402, "not_sent");
    LONGS_EQUAL(calls, fixture.call_count());
    LONGS_EQUAL(402, response->status);
}

TEST(cut_router_group, a_peer_without_a_connection_is_replaced_by_another)
{
    fixture.dispatcher.set_fleet(fleet_of(6, 500));
    const auto response = send_through_peer("pay");
    std::set<std::string> tried;
    while (response->status == 0)
    {
        CHECK(is_peer_call(fixture.call_count() - 1));
        CHECK(tried.insert(last_call().sent.address).second);
        last_call().fail(not_connected);
    }
    LONGS_EQUAL(3, tried.size());
    LONGS_EQUAL(503, response->status);
    CHECK(response->has("Retry-After"));
    CHECK(response->body.find("not_run") != std::string::npos);
}

TEST(cut_router_group, a_peer_that_is_cut_off_from_the_service_is_not_used)
{
    drivers::fleet_view view = fleet_of(6, 500);
    for (drivers::peer_path& peer : view.peer_paths)
    {
        peer.cut_off_services = {"s"};
    }
    fixture.dispatcher.set_fleet(view);
    const auto response = send_through_peer("pay");
    CHECK_FALSE(is_peer_call(fixture.call_count() - 1));
    LONGS_EQUAL(503, response->status);
    CHECK(response->has("Retry-After"));
}

TEST(cut_router_group, a_router_without_paths_forwards_at_once)
{
    lose_paths();
    for (const char* route : {"pay", "once", "ask", "read"})
    {
        const std::size_t calls = fixture.call_count();
        fixture.send_request(route, "10,5");
        LONGS_EQUAL(calls + 1, fixture.call_count());
        CHECK(is_peer_call(calls));
    }
    LONGS_EQUAL(0, held_tokens());
}

TEST(cut_router_group, a_router_without_paths_needs_no_tokens)
{
    fixture.dispatcher.set_fleet(fleet_of(2));
    lose_paths();
    fixture.send_request("once", "10,5");
    CHECK(is_peer_call(fixture.call_count() - 1));
    LONGS_EQUAL(0, fixture.dispatcher.digest().accounts["acme"].lacking);
}

TEST(cut_router_group, waiting_requests_are_forwarded_once_paths_are_lost)
{
    fixture.set_upstreams({"u1"});
    for (int number = 0; number < 4; ++number)
    {
        fixture.send_request("once");
    }
    fixture.timers.advance(250ms);
    fixture.send_request("pay");
    LONGS_EQUAL(4, fixture.call_count());
    // No response for long makes the router open connections.
    constexpr int max_steps = 20;
    for (int step = 0; step < max_steps; ++step)
    {
        fixture.timers.advance(10ms);
        while (!fixture.transport.probed.empty())
        {
            fixture.transport.finish_probe(ports::probe_result::failed);
        }
    }
    LONGS_EQUAL(5, fixture.call_count());
    CHECK(is_peer_call(4));
}

TEST(cut_router_group, a_request_is_refused_at_once_if_no_router_has_paths)
{
    lose_paths();
    drivers::fleet_view view = fleet_of(6, 500);
    for (drivers::peer_path& peer : view.peer_paths)
    {
        peer.cut_off_services = {"s"};
    }
    fixture.dispatcher.set_fleet(view);
    const std::size_t calls = fixture.call_count();
    const auto response = fixture.send_request("pay");
    LONGS_EQUAL(calls, fixture.call_count());
    LONGS_EQUAL(503, response->status);
    CHECK(response->has("Retry-After"));
    CHECK(response->body.find("not_run") != std::string::npos);
}

TEST(cut_router_group, slow_upstreams_get_requests_if_no_peer_is_better_off)
{
    lose_paths(ports::probe_result::silent);
    fixture.send_request("pay");
    CHECK(is_peer_call(fixture.call_count() - 1));
    drivers::fleet_view view = fleet_of(6, 500);
    for (drivers::peer_path& peer : view.peer_paths)
    {
        peer.cut_off_services = {"s"};
    }
    fixture.dispatcher.set_fleet(view);
    const std::size_t calls = fixture.call_count();
    const auto response = fixture.send_request("pay");
    LONGS_EQUAL(calls + 1, fixture.call_count());
    CHECK_FALSE(is_peer_call(calls));
    last_call().success();
    last_call().end();
    LONGS_EQUAL(200, response->status);
    // The peer that sent this one can choose another.
    LONGS_EQUAL(
        503, fixture.send_request("pay", "", {{"X-Forwarded-By-Router", "2"}})
                 ->status);
}

TEST(cut_router_group, a_forwarded_request_is_refused_by_a_router_without_paths)
{
    lose_paths();
    const std::size_t calls = fixture.call_count();
    const auto response =
        fixture.send_request("pay", "", {{"X-Forwarded-By-Router", "2"}});
    LONGS_EQUAL(calls, fixture.call_count());
    LONGS_EQUAL(503, response->status);
    STRCMP_EQUAL("not_sent", ports::find_header_value(response->fields,
                                                      "X-Forwarded-By-Router")
                                 ->c_str());
}

TEST(cut_router_group, a_forwarded_request_is_not_forwarded_again)
{
    const auto response =
        send_through_peer("pay", "", {{"X-Forwarded-By-Router", "2"}});
    LONGS_EQUAL(3, fixture.call_count());
    CHECK_FALSE(is_peer_call(2));
    CHECK_FALSE(last_call().has_sent("X-Forwarded-By-Router"));
    LONGS_EQUAL(503, response->status);
    STRCMP_EQUAL("not_sent", ports::find_header_value(response->fields,
                                                      "X-Forwarded-By-Router")
                                 ->c_str());
    STRCMP_EQUAL(
        "r",
        ports::find_header_value(response->fields, "X-Request-Id")->c_str());
}

TEST(cut_router_group, each_response_to_a_forwarded_request_has_its_id)
{
    const auto buffered =
        fixture.send_request("pay", "", {{"X-Forwarded-By-Router", "1"}});
    last_call().success();
    last_call().end();
    CHECK(buffered->has("X-Request-Id"));
    const auto stream =
        fixture.send_request("once", "", {{"X-Forwarded-By-Router", "1"}});
    last_call().success();
    last_call().part(event(1));
    CHECK(stream->has("X-Request-Id"));
    const auto own = fixture.send_request("pay");
    last_call().success();
    last_call().end();
    CHECK_FALSE(own->has("X-Request-Id"));
}

TEST(cut_router_group, a_success_without_the_id_is_not_relayed)
{
    const auto response = send_through_peer("pay");
    last_call().success();
    last_call().end();
    LONGS_EQUAL(502, response->status);
}

TEST(cut_router_group, a_forwarded_request_gets_the_attempts_that_are_left)
{
    const auto response =
        fixture.send_request("read", "", {{"X-Forwarded-By-Router", "1"}});
    fixture.call(0).not_executed();
    LONGS_EQUAL(1, fixture.call_count());
    LONGS_EQUAL(503, response->status);
    STRCMP_EQUAL("not_run", ports::find_header_value(response->fields,
                                                     "X-Forwarded-By-Router")
                                ->c_str());
    const auto unknown =
        fixture.send_request("read", "", {{"X-Forwarded-By-Router", "1"}});
    fixture.call(1).fail(broken);
    LONGS_EQUAL(2, fixture.call_count());
    LONGS_EQUAL(502, unknown->status);
    STRCMP_EQUAL(
        "outcome_unknown",
        ports::find_header_value(unknown->fields, "X-Forwarded-By-Router")
            ->c_str());
}

TEST(cut_router_group, a_request_that_may_have_run_once_is_not_forwarded)
{
    for (const char* route : {"pay", "once"})
    {
        const auto response = fixture.send_request(route);
        const std::size_t calls = fixture.call_count();
        last_call().fail(broken);
        LONGS_EQUAL(calls, fixture.call_count());
        LONGS_EQUAL(502, response->status);
    }
}

TEST(cut_router_group, a_repeatable_request_is_forwarded_with_fewer_attempts)
{
    const auto response = fixture.send_request("read");
    last_call().fail(broken);
    last_call().fail(not_connected);
    last_call().fail(not_connected);
    CHECK(is_peer_call(fixture.call_count() - 1));
    CHECK(last_call().has_sent(std::string(marker) + "1\r\n"));
    // The request may have run at the first upstream.
    refuse_last_call(503, "not_run");
    LONGS_EQUAL(502, response->status);
}

TEST(cut_router_group, a_broken_stream_resumes_through_a_peer)
{
    const auto response = fixture.send_request("ask", "10,50");
    answer_last_call();
    last_call().part(event(1) + event(2) + "id: 3\nda");
    last_call().fail(broken);
    last_call().fail(not_connected);
    last_call().fail(not_connected);
    CHECK(is_peer_call(fixture.call_count() - 1));
    CHECK(last_call().has_sent("Last-Event-Id: 2\r\n"));
    LONGS_EQUAL(12, used_tokens());
    LONGS_EQUAL(0, held_tokens());
    answer_last_call();
    last_call().part(event(3));
    last_call().end();
    STRCMP_EQUAL((event(1) + event(2) + event(3)).c_str(),
                 response->body.c_str());
    CHECK(response->is_complete);
    LONGS_EQUAL(12, used_tokens());
}

TEST(cut_router_group, a_peer_that_skips_an_event_does_not_resume_a_stream)
{
    const auto response = break_stream_off();
    last_call().head(200, event_stream_fields);
    last_call().part(event(4));
    CHECK(response->is_aborted);
    STRCMP_EQUAL((event(1) + event(2)).c_str(), response->body.c_str());
}

// Guards against a stream that ends as complete at a peer's empty response.
TEST(cut_router_group, an_empty_response_of_a_peer_does_not_end_a_stream)
{
    for (const char* framing : {"Content-Length", "Transfer-Encoding", "X-No"})
    {
        const auto response = break_stream_off();
        ports::header_fields fields = event_stream_fields;
        fields.push_back({framing, "0"});
        last_call().head(200, fields);
        last_call().end();
        CHECK(response->is_aborted);
        CHECK_FALSE(response->is_complete);
        STRCMP_EQUAL((event(1) + event(2)).c_str(), response->body.c_str());
    }
}

TEST(cut_router_group, another_kind_of_response_of_a_peer_resumes_no_stream)
{
    const auto response = break_stream_off();
    last_call().head(200, {{"X-Server-Stamp", "s"},
                           {"X-Request-Id", "r"},
                           {"Content-Type", "text/plain"}});
    last_call().part(event(3));
    last_call().end();
    CHECK(response->is_aborted);
    STRCMP_EQUAL((event(1) + event(2)).c_str(), response->body.c_str());
}

TEST(cut_router_group, only_the_peer_holds_the_tokens_of_a_forwarded_request)
{
    const auto response = send_through_peer("once", "10,50");
    LONGS_EQUAL(0, held_tokens());
    LONGS_EQUAL(0, used_tokens());
    answer_last_call();
    last_call().part(event(1) + event(2));
    last_call().end();
    CHECK(response->is_complete);
    LONGS_EQUAL(0, held_tokens());
    LONGS_EQUAL(0, used_tokens());
    LONGS_EQUAL(500, fixture.dispatcher.digest().accounts["acme"].free);
}

TEST(cut_router_group, failing_peers_are_no_evidence_against_upstreams)
{
    for (int request = 0; request < 20; ++request)
    {
        send_through_peer("once", "10,5");
        last_call().fail(broken);
    }
    LONGS_EQUAL(0,
                fixture.dispatcher.digest().observations.suspect_parts.size());
    LONGS_EQUAL(0, fixture.dispatcher.digest().blocked.size());
    LONGS_EQUAL(0, fixture.dispatcher.digest().load.size());
}
