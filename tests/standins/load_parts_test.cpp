#include "standins/common/response_text.hpp"
#include "utilities/turmeric_load/latency_histogram.hpp"
#include "utilities/turmeric_load/request_plan.hpp"
#include "utilities/turmeric_load/response_body_reader.hpp"
#include "utilities/turmeric_load/response_check.hpp"
#include "utilities/turmeric_load/response_parser.hpp"
#include "utilities/turmeric_load/router_directory.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::load;

namespace
{

constexpr std::uint64_t digest = 42;

std::string make_tokens(std::int64_t first, std::int64_t end)
{
    std::string text;
    for (std::int64_t index = first; index < end; ++index)
    {
        standins::append_token(text, digest, index);
    }
    return text;
}

/// Calls `feed` with pieces of `text` of the given lengths, then with the rest.
template <class Feed>
void feed_in_pieces(const std::string& text,
                    const std::vector<std::uint8_t>& lengths, const Feed& feed)
{
    std::string_view rest = text;
    for (const std::uint8_t length : lengths)
    {
        const std::size_t piece_length =
            std::min<std::size_t>(length, rest.size());
        feed(rest.substr(0, piece_length));
        rest.remove_prefix(piece_length);
    }
    feed(rest);
}

} // namespace

TEST_GROUP(response_check){};

TEST(response_check, accepts_the_expected_text_in_any_pieces)
{
    CHECK(rc::check("the result is the same for any pieces",
                    [](const std::vector<std::uint8_t>& lengths)
                    {
                        response_check check(digest, 9);
                        feed_in_pieces(make_tokens(0, 9), lengths,
                                       [&check](std::string_view piece)
                                       { check.feed(piece); });
                        RC_ASSERT(check.is_complete());
                    }));
}

TEST(response_check, detects_any_changed_character)
{
    CHECK(rc::check("a changed character is detected",
                    []
                    {
                        std::string text = make_tokens(0, 5);
                        const std::size_t position =
                            *rc::gen::inRange<std::size_t>(0, text.size());
                        text.at(position) = '#';
                        response_check check(digest, 5);
                        check.feed(text);
                        RC_ASSERT(check.is_wrong());
                    }));
}

TEST(response_check, detects_reordered_repeated_excess_and_missing_tokens)
{
    for (const std::string& text :
         {make_tokens(1, 2) + make_tokens(0, 1),
          make_tokens(0, 1) + make_tokens(0, 1), make_tokens(0, 3)})
    {
        response_check check(digest, 2);
        check.feed(text);
        CHECK_TRUE(check.is_wrong());
    }
    response_check short_response(digest, 2);
    short_response.feed(make_tokens(0, 1));
    CHECK_FALSE(short_response.is_wrong());
    CHECK_FALSE(short_response.is_complete());
}

TEST_GROUP(response_parser){};

TEST(response_parser, reads_chunks_in_any_pieces)
{
    CHECK(rc::check(
        "the result is the same for any pieces",
        [](const std::vector<std::uint8_t>& lengths)
        {
            const std::string response = "HTTP/1.1 200 OK\r\nX-A:  b\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                         "5\r\nhello\r\nA;x=y\r\n, chunked!\r\n"
                                         "0\r\nX-Trailer: c\r\n\r\n";
            response_parser parser;
            std::string body;
            response_parser::progress last =
                response_parser::progress::incomplete;
            feed_in_pieces(response, lengths,
                           [&](std::string_view piece)
                           {
                               last = parser.feed(piece,
                                                  [&body](std::string_view part)
                                                  { body.append(part); });
                           });
            RC_ASSERT(last == response_parser::progress::complete);
            RC_ASSERT(body == "hello, chunked!");
            RC_ASSERT(parser.head().header("x-a") == "b");
            RC_ASSERT(parser.keeps_connection());
        }));
}

TEST(response_parser, an_invalid_status_or_name_is_invalid)
{
    const response_parser::body_sink ignore = [](std::string_view) {};
    for (const char* const head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n",
          "HTTP/1.1 200 OK\r\nNa me: v\r\n", "HTTP/1.1 200 OK\r\n: v\r\n",
          "HTTP/1.1 200 OK\r\nName : v\r\n",
          "HTTP/1.1 200 OK\r\nNa\x01me: v\r\n"})
    {
        response_parser parser;
        CHECK(parser.feed(head, ignore) == response_parser::progress::invalid);
    }
    response_parser sound;
    CHECK(sound.feed("HTTP/1.1 599 S\r\nContent-Length: 0\r\n\r\n", ignore) ==
          response_parser::progress::complete);
}

TEST(response_parser, early_end_is_invalid)
{
    const response_parser::body_sink ignore = [](std::string_view) {};
    response_parser fixed_length;
    fixed_length.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
                      ignore);
    CHECK_TRUE(fixed_length.close() == response_parser::progress::invalid);
    response_parser close_delimited;
    close_delimited.feed("HTTP/1.1 200 OK\r\n\r\nhello", ignore);
    CHECK_TRUE(close_delimited.close() == response_parser::progress::complete);
    response_parser malformed;
    CHECK_TRUE(malformed.feed("SSH-2.0\r\n", ignore) ==
               response_parser::progress::invalid);
}

TEST_GROUP(response_body_reader)
{
    response_body_reader m_reader{response_check(digest, 2)};
    response_head m_head{200, {{"content-type", "text/event-stream"}}};

    std::string event(const std::string& text)
    {
        const json delta = {{"delta", {{"content", text}}}};
        return "data: " + json({{"choices", json::array({delta})}}).dump() +
               "\n\n";
    }
};

TEST(response_body_reader, reads_a_stream_with_its_billed_tokens)
{
    CHECK_TRUE(m_reader.feed(m_head, event(make_tokens(0, 1))));
    CHECK_TRUE(m_reader.feed(m_head, event(make_tokens(1, 2))));
    m_reader.feed(m_head, R"(data: {"choices":[],"usage":{"total_tokens":7},)"
                          R"("turmeric":{"tokens_billed":6}})"
                          "\n\ndata: [DONE]\n\n");
    m_reader.finish(m_head);
    CHECK_TRUE(m_reader.has_end());
    CHECK_TRUE(m_reader.check().is_complete());
    LONGS_EQUAL(6, m_reader.billed_tokens().value_or(0));
    LONGS_EQUAL(7, m_reader.used_tokens());
}

TEST(response_body_reader, reads_a_failure_within_a_stream)
{
    m_reader.feed(m_head, R"(data: {"error":{"code":4006,)"
                          R"("outcome":"outcome_unknown"}})"
                          "\n\n");
    LONGS_EQUAL(4006, m_reader.failure()->code);
    STRCMP_EQUAL("outcome_unknown", m_reader.failure()->outcome.c_str());
    CHECK_FALSE(m_reader.has_end());
}

TEST(response_body_reader, reads_a_refusal)
{
    const response_head head{402,
                             {{"content-type", "application/problem+json"}}};
    m_reader.feed(head, R"({"code":3001,"outcome":"not_run"})");
    m_reader.finish(head);
    LONGS_EQUAL(402, m_reader.failure()->http_status);
    LONGS_EQUAL(3001, m_reader.failure()->code);
    STRCMP_EQUAL("not_run", m_reader.failure()->outcome.c_str());
}

TEST(response_body_reader, reads_a_complete_response_with_its_header)
{
    const response_head head{200,
                             {{"content-type", "application/json"},
                              {"turmeric-tokens-billed", "9"}}};
    const json message = {{"message", {{"content", make_tokens(0, 2)}}}};
    m_reader.feed(head, json({{"choices", json::array({message})}}).dump());
    m_reader.finish(head);
    CHECK_TRUE(m_reader.has_end());
    CHECK_TRUE(m_reader.check().is_complete());
    LONGS_EQUAL(9, m_reader.billed_tokens().value_or(0));
}

TEST_GROUP(latency_histogram){};

TEST(latency_histogram, percentiles_are_within_two_percent)
{
    CHECK(rc::check(
        "compared with a sorted list",
        []
        {
            const std::vector<std::int64_t> values = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::int64_t>>(
                    rc::gen::inRange<std::int64_t>(100, 10'000'000)));
            latency_histogram histogram;
            for (const std::int64_t value : values)
            {
                histogram.add(std::chrono::microseconds(value));
            }
            std::vector<std::int64_t> sorted = values;
            std::sort(sorted.begin(), sorted.end());
            const std::size_t position = (sorted.size() + 1) / 2 - 1;
            const double exact = static_cast<double>(sorted.at(position));
            const double estimated =
                static_cast<double>(histogram.percentile(0.5).count());
            RC_ASSERT(estimated >= exact * 0.98);
            RC_ASSERT(estimated <= exact * 1.02);
        }));
}

TEST_GROUP(router_directory){};

TEST(router_directory, reads_addresses_weights_and_time_to_live)
{
    const std::optional<locate_response> response = parse_locate_response(
        R"({"routers":[{"address":"127.0.0.1:1","weight":2.5},)"
        R"({"address":"nonsense"}],"time_to_live_ms":1500})");
    LONGS_EQUAL(1, response->routers.size());
    DOUBLES_EQUAL(2.5, response->routers.front().weight, 0.0);
    LONGS_EQUAL(1500, response->time_to_live.count());
    CHECK_FALSE(parse_locate_response("[]").has_value());
    CHECK_FALSE(parse_locate_response(R"({"routers":[]})").has_value());
}

TEST(router_directory, avoids_an_address_if_another_exists)
{
    load_options options;
    options.is_direct = true;
    options.targets = {"127.0.0.1:1", "127.0.0.1:2"};
    router_directory routers(options);
    CHECK_TRUE(routers.start());
    for (std::uint64_t draw = 0; draw < 10; ++draw)
    {
        STRCMP_EQUAL("127.0.0.1:2",
                     routers.pick(draw * 99'991, "127.0.0.1:1").c_str());
    }
}

TEST_GROUP(request_plan){};

TEST(request_plan, same_seed_gives_the_same_request)
{
    load_options options;
    options.min_tokens = 3;
    options.max_tokens = 9;
    const request_plan first = plan_request(options, 7);
    STRCMP_EQUAL(first.body.c_str(), plan_request(options, 7).body.c_str());
    CHECK_TRUE(first.tokens >= 3 && first.tokens <= 9);
    CHECK_FALSE(first.id == plan_request(options, 8).id);
    options.seed = 2;
    CHECK_FALSE(first.body == plan_request(options, 7).body);
}
