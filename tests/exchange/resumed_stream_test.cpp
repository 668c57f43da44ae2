#include "tests/exchange/exchange_fixture.hpp"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

const ports::header_fields event_stream_fields = {
    {"X-Server-Stamp", "s"},
    {"Content-Type", "text/event-stream"},
    {"X-Weight-Versions", "1"}};

} // namespace

/// A stream breaks off after two events and within the third, and another
/// upstream is called to resume it.
TEST_GROUP(resumed_stream_group)
{
    std::unique_ptr<exchange_fixture> fixture =
        std::make_unique<exchange_fixture>();
    const std::string begun = event(1) + event(2);

    std::shared_ptr<recorded_response> break_off(
        const std::string& events = event(1) + event(2) + "id: 3\nda",
        const std::string& route = "ask")
    {
        const std::size_t first = fixture->call_count();
        const auto response = fixture->send_request(route);
        fixture->call(first).head(200, event_stream_fields);
        fixture->call(first).part(events);
        fixture->call(first).fail(broken);
        LONGS_EQUAL(first + 2, fixture->call_count());
        return response;
    }

    /// Returns the call that is to resume the stream.
    fake_upstream_call& resuming_call()
    {
        return fixture->call(fixture->call_count() - 1);
    }

    /// Checks that the caller has the events from before the break, and sees
    /// that the stream is incomplete.
    void check_broken_off(const recorded_response& response)
    {
        STRCMP_EQUAL(begun.c_str(), response.body.c_str());
        LONGS_EQUAL(200, response.status);
        CHECK(response.is_aborted);
        CHECK_FALSE(response.is_complete);
    }

    /// Plays a response to the resumption and checks that nothing of it
    /// reaches the caller.
    void check_is_no_continuation(int status, ports::header_fields fields,
                                  const std::vector<std::string>& parts)
    {
        // A request under which upstreams have just ended is not resumed again.
        fixture = std::make_unique<exchange_fixture>();
        const auto response = break_off();
        resuming_call().head(status, std::move(fields));
        for (const std::string& part : parts)
        {
            resuming_call().part(part);
        }
        resuming_call().end();
        check_broken_off(*response);
    }
};

TEST(resumed_stream_group, an_error_in_pieces_is_not_part_of_the_stream)
{
    const std::vector<std::string> pieces = {"id: 3\nda", "ta: error\n",
                                             "\nno ", "room\n\n"};
    check_is_no_continuation(500, {{"X-Server-Stamp", "t"}}, pieces);
    check_is_no_continuation(500, event_stream_fields, pieces);
    check_is_no_continuation(503, {}, pieces);
    check_is_no_continuation(503, {{"X-Not-Executed", "1"}}, pieces);
    check_is_no_continuation(404, event_stream_fields, pieces);
}

TEST(resumed_stream_group, an_error_that_breaks_off_is_not_part_of_the_stream)
{
    const auto response = break_off();
    resuming_call().head(500, event_stream_fields);
    resuming_call().part(event(3));
    resuming_call().fail(broken);
    check_broken_off(*response);
}

TEST(resumed_stream_group, an_unsigned_stream_is_not_part_of_the_stream)
{
    check_is_no_continuation(200, {{"Content-Type", "text/event-stream"}},
                             {event(3), event(4)});
}

TEST(resumed_stream_group, an_encoded_stream_is_not_part_of_the_stream)
{
    ports::header_fields fields = event_stream_fields;
    fields.push_back({"Content-Encoding", "gzip"});
    check_is_no_continuation(200, fields, {event(3), event(4)});
}

TEST(resumed_stream_group, a_signed_plain_body_is_not_part_of_the_stream)
{
    check_is_no_continuation(
        200, {{"X-Server-Stamp", "t"}, {"Content-Type", "text/plain"}},
        {"no room\n", "\nhere\n\n"});
    check_is_no_continuation(200, {{"X-Server-Stamp", "t"}}, {"no room\n\n"});
}

TEST(resumed_stream_group, a_response_of_another_status_does_not_end_the_stream)
{
    for (const int status : {201, 202, 204, 205, 206})
    {
        check_is_no_continuation(status, event_stream_fields, {});
        ports::header_fields fields = event_stream_fields;
        fields.push_back({"Content-Length", "0"});
        check_is_no_continuation(status, fields, {});
    }
    check_is_no_continuation(206, event_stream_fields, {event(3)});
}

TEST(resumed_stream_group,
     an_empty_response_without_a_length_does_not_end_the_stream)
{
    // An upstream that ends after the head of its response looks the same.
    check_is_no_continuation(200, event_stream_fields, {});
}

// Guards against a stream that breaks off and ends as complete at a truncated
// response, since that has a proper end too.
TEST(resumed_stream_group, an_empty_response_with_its_end_does_not_end_a_stream)
{
    ports::header_fields with_length = event_stream_fields;
    with_length.push_back({"Content-Length", "0"});
    ports::header_fields chunked = event_stream_fields;
    chunked.push_back({"Transfer-Encoding", "chunked"});
    for (const ports::header_fields& fields : {with_length, chunked})
    {
        check_is_no_continuation(200, fields, {});
        // Events that the caller has already prove no end either.
        check_is_no_continuation(200, fields, {event(1)});
        check_is_no_continuation(200, fields, {event(1) + event(2)});
    }
}

TEST(resumed_stream_group,
     a_stream_that_broke_off_before_its_end_alone_is_not_known_to_be_complete)
{
    // It is unknown whether the second event was the last one.
    const auto response = break_off(begun);
    ports::header_fields fields = event_stream_fields;
    fields.push_back({"Transfer-Encoding", "chunked"});
    resuming_call().head(200, fields);
    resuming_call().end();
    check_broken_off(*response);
}

TEST(resumed_stream_group, after_an_empty_response_a_third_upstream_goes_on)
{
    for (const char* framing : {"Content-Length", "Transfer-Encoding"})
    {
        fixture = std::make_unique<exchange_fixture>();
        const auto response = break_off(begun, "talk");
        ports::header_fields fields = event_stream_fields;
        fields.push_back({framing, "0"});
        resuming_call().head(200, fields);
        resuming_call().end();
        LONGS_EQUAL(3, fixture->call_count());
        CHECK(resuming_call().has_sent("Last-Event-Id: 2\r\n"));
        resuming_call().head(200, event_stream_fields);
        resuming_call().part(event(3));
        resuming_call().end();
        STRCMP_EQUAL((begun + event(3)).c_str(), response->body.c_str());
        CHECK(response->is_complete);
    }
}

TEST(resumed_stream_group, an_event_of_each_response_before_counts_for_no_other)
{
    const auto response = break_off(begun, "talk");
    resuming_call().head(200, event_stream_fields);
    resuming_call().part(event(3));
    // An upstream that ends as it begins a response is not called again.
    fixture->timers.advance(std::chrono::seconds(1));
    resuming_call().fail(broken);
    LONGS_EQUAL(3, fixture->call_count());
    ports::header_fields fields = event_stream_fields;
    fields.push_back({"Content-Length", "0"});
    resuming_call().head(200, fields);
    resuming_call().end();
    STRCMP_EQUAL((begun + event(3)).c_str(), response->body.c_str());
    CHECK(response->is_aborted);
    CHECK_FALSE(response->is_complete);
}

TEST(resumed_stream_group, an_empty_first_response_is_no_stream)
{
    for (const char* framing : {"Content-Length", "Transfer-Encoding", "X-No"})
    {
        fixture = std::make_unique<exchange_fixture>();
        const auto response = fixture->send_request("ask");
        ports::header_fields fields = event_stream_fields;
        fields.push_back({framing, "0"});
        for (std::size_t attempt = 0; attempt < 2; ++attempt)
        {
            LONGS_EQUAL(attempt + 1, fixture->call_count());
            fixture->call(attempt).head(200, fields);
            fixture->call(attempt).end();
        }
        LONGS_EQUAL(502, response->status);
        LONGS_EQUAL(2, fixture->call_count());
    }
}

TEST(resumed_stream_group,
     a_response_without_a_length_ends_the_stream_after_a_complete_event)
{
    const auto response = break_off();
    resuming_call().head(200, event_stream_fields);
    resuming_call().part(event(3).substr(0, 5));
    resuming_call().part(event(3).substr(5));
    resuming_call().end();
    STRCMP_EQUAL((begun + event(3)).c_str(), response->body.c_str());
    CHECK(response->is_complete);
    const auto cut = break_off();
    resuming_call().head(200, event_stream_fields);
    resuming_call().part(event(3).substr(0, 5));
    resuming_call().end();
    check_broken_off(*cut);
}

TEST(resumed_stream_group, a_change_of_weights_keeps_the_first_head)
{
    const auto response = break_off();
    ports::header_fields fields = event_stream_fields;
    fields[0].value = "t";
    fields[2].value = "2";
    resuming_call().head(200, fields);
    const std::string changed = "x-weight-versions: 2\n" + event(3);
    resuming_call().part(changed.substr(0, 9));
    resuming_call().part(changed.substr(9) + event(4));
    resuming_call().end();
    STRCMP_EQUAL((begun + changed + event(4)).c_str(), response->body.c_str());
    CHECK(response->is_complete);
    STRCMP_EQUAL("1",
                 ports::find_header_value(response->fields, "X-Weight-Versions")
                     ->c_str());
    STRCMP_EQUAL(
        "s",
        ports::find_header_value(response->fields, "X-Server-Stamp")->c_str());
}

TEST(resumed_stream_group, events_that_repeat_or_go_back_are_dropped)
{
    const auto response = break_off();
    resuming_call().head(200, event_stream_fields);
    resuming_call().part(event(2) + event(1) + event(2) + event(3));
    resuming_call().part(event(3) + event(1) + event(4));
    resuming_call().end();
    STRCMP_EQUAL((begun + event(3) + event(4)).c_str(), response->body.c_str());
    CHECK(response->is_complete);
}

TEST(resumed_stream_group, a_missing_event_is_not_passed_over)
{
    const auto response = break_off();
    resuming_call().head(200, event_stream_fields);
    resuming_call().part(event(4) + event(5));
    CHECK(resuming_call().is_cancelled);
    check_broken_off(*response);
    const auto after_repeats = break_off();
    resuming_call().head(200, event_stream_fields);
    resuming_call().part(event(1));
    resuming_call().part(event(2));
    resuming_call().part(event(4));
    CHECK(resuming_call().is_cancelled);
    check_broken_off(*after_repeats);
}

TEST(resumed_stream_group, a_media_type_may_be_written_with_parameters)
{
    const auto response = break_off();
    resuming_call().head(
        200, {{"X-Server-Stamp", "t"},
              {"content-type", "Text/Event-Stream; charset=utf-8"}});
    resuming_call().part(event(3));
    resuming_call().end();
    CHECK(response->is_complete);
    STRCMP_EQUAL((begun + event(3)).c_str(), response->body.c_str());
}
