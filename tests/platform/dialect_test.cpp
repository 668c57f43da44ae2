#include <rapidcheck.h>

#include "platform/platform_dialect.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::platform;

TEST_GROUP(platform_dialect_group)
{
    platform_dialect dialect;
    ports::received_request request;
    drivers::upstream_request_metadata metadata{
        "i-1", "acme", std::chrono::milliseconds(90), 2, std::nullopt};

    void setup() override
    {
        request.head = {
            "POST",
            "/ask/1?q=2",
            {{"Host", "shop.example:80"},
             {"X-Request-Id", "r-1"},
             {"X-Request-Deadline", "1500"},
             {"X-Token-Count", "1460,80"},
             {"X-Model", "m"},
             {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
             {"Authorization", "Bearer secret"}}};
        request.body = "body";
    }

    bool request_contains(const std::string& text)
    {
        return dialect
                   .write_request(request.head, request.body.size(), metadata)
                   .find(text) != std::string::npos;
    }
};

TEST(platform_dialect_group, a_request_is_read)
{
    const domain::caller_request read =
        dialect.read_request(request.head).value();
    STRCMP_EQUAL("r-1", read.id.c_str());
    STRCMP_EQUAL("shop.example", read.host.c_str());
    STRCMP_EQUAL("/ask/1", read.path.c_str());
    STRCMP_EQUAL("secret", read.key.c_str());
    LONGS_EQUAL(1'500, read.timeout->count());
    LONGS_EQUAL(1'460, read.prompt->input_tokens);
    LONGS_EQUAL(80, read.prompt->max_output_tokens);
    LONGS_EQUAL(3, read.prompt->parts.size());
    LONGS_EQUAL(0x5c1e07a2, read.prompt->parts.front().id);
    LONGS_EQUAL(250, read.prompt->parts.back().tokens);
}

TEST(platform_dialect_group, a_path_probe_is_no_callers_request)
{
    domain::upstream_entry upstream;
    upstream.address = "10.0.0.7:80";
    domain::upstream_service service;
    service.health_path = "/up";
    STRCMP_EQUAL("GET /up HTTP/1.1\r\nHost: 10.0.0.7:80\r\n\r\n",
                 dialect.write_path_probe(upstream, &service).c_str());
    STRCMP_EQUAL("GET / HTTP/1.1\r\nHost: 10.0.0.7:80\r\n\r\n",
                 dialect.write_path_probe(upstream, nullptr).c_str());
    service.engine = domain::engine_properties{};
    STRCMP_EQUAL("GET /api/report HTTP/1.1\r\nHost: 10.0.0.7:80\r\n\r\n",
                 dialect.write_path_probe(upstream, &service).c_str());
}

TEST(platform_dialect_group, a_request_without_an_id_is_refused)
{
    const result<domain::caller_request> read =
        dialect.read_request({"GET", "/", {}});
    CHECK(read.failure().code == result_code::invalid_field);
    STRCMP_EQUAL("X-Request-Id", read.failure().field.c_str());
}

TEST(platform_dialect_group, malformed_token_counts_yield_no_prompt)
{
    for (const char* counts : {"", "12", "12,", "a,b", "-1,5", "12,-5"})
    {
        const ports::request_head head{
            "GET", "/", {{"X-Request-Id", "r"}, {"X-Token-Count", counts}}};
        CHECK_FALSE(dialect.read_request(head).value().prompt.has_value());
    }
}

TEST(platform_dialect_group, out_of_range_token_counts_yield_no_prompt)
{
    // The sum of such counts overflowed to a negative number, which aborted
    // the process.
    for (const char* counts :
         {"9223372036854775807,10", "10,9223372036854775807",
          "4611686018427387904,4611686018427387904", "10,80x"})
    {
        const ports::request_head head{
            "GET", "/", {{"X-Request-Id", "r"}, {"X-Token-Count", counts}}};
        CHECK_FALSE(dialect.read_request(head).value().prompt.has_value());
    }
}

TEST(platform_dialect_group, token_counts_never_yield_negative_tokens)
{
    const std::string characters = "0123456789,- x";
    CHECK(rc::check(
        "the token counts may be any text",
        [&characters]
        {
            const std::string counts = *rc::gen::container<std::string>(
                rc::gen::elementOf(characters));
            const ports::request_head head{
                "GET", "/", {{"X-Request-Id", "r"}, {"X-Token-Count", counts}}};
            const domain::caller_request read =
                platform_dialect().read_request(head).value();
            RC_ASSERT(!read.prompt || (read.prompt->input_tokens >= 0 &&
                                       read.prompt->max_output_tokens >= 0 &&
                                       read.prompt->max_total_tokens() >= 0));
        }));
}

TEST(platform_dialect_group, out_of_range_prompt_parts_are_omitted)
{
    request.head.fields[5].value =
        "1:9223372036854775807,2:9223372036854775807";
    const domain::caller_request read =
        dialect.read_request(request.head).value();
    LONGS_EQUAL(0, read.prompt->parts.size());
}

TEST(platform_dialect_group, a_negative_deadline_leaves_no_time)
{
    request.head.fields[2].value = "-9223372036854775808";
    LONGS_EQUAL(0, dialect.read_request(request.head).value().timeout->count());
}

TEST(platform_dialect_group,
     upstream_requests_carry_the_length_and_the_metadata)
{
    CHECK(request_contains("POST /ask/1?q=2 HTTP/1.1\r\n"));
    CHECK(request_contains("X-Request-Id: r-1\r\n"));
    CHECK(request_contains("X-Token-Count: 1460,80\r\n"));
    CHECK(request_contains("X-Request-Deadline: 90\r\n"));
    CHECK(request_contains("X-Expect-Instance: i-1\r\n"));
    CHECK(request_contains("X-Tenant: acme\r\n"));
    const std::string head =
        dialect.write_request(request.head, request.body.size(), metadata);
    CHECK(head.ends_with("\r\nContent-Length: 4\r\n\r\n"));
    CHECK_FALSE(request_contains("secret"));
    CHECK_FALSE(request_contains("1500"));
    CHECK_FALSE(request_contains("Last-Event-Id"));
    metadata.resume_after = 12;
    CHECK(request_contains("Last-Event-Id: 12\r\n"));
}

TEST(platform_dialect_group,
     router_owned_and_hop_by_hop_fields_are_not_forwarded)
{
    for (const char* name :
         {"X-Tenant", "x-hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
          "Kv-Fetch", "X-Expect-Version", "X-Server-Stamp"})
    {
        request.head.fields.push_back({name, "forged"});
    }
    request.head.fields.push_back({"Connection", "close, X-Private"});
    request.head.fields.push_back({"X-Private", "forged"});
    request.head.fields.push_back({"Transfer-Encoding", "forged"});
    CHECK_FALSE(request_contains("forged"));
    CHECK_FALSE(request_contains("close"));
}

TEST(platform_dialect_group, a_forwarded_request_is_marked_and_has_the_key)
{
    request.head.fields.push_back({"X-Forwarded-By-Router", "forged"});
    request.head.fields.push_back({"X-Hold", "forged"});
    request.head.fields.push_back({"Connection", "close"});
    const std::string bytes = dialect.write_forwarded_request(
        request.head, request.body.size(),
        {"10.1.0.1:9000", std::chrono::milliseconds(90), 2, 12});
    for (const char* line :
         {"POST /ask/1?q=2 HTTP/1.1\r\n", "X-Request-Id: r-1\r\n",
          "X-Token-Count: 1460,80\r\n", "X-Request-Deadline: 90\r\n",
          "Authorization: Bearer secret\r\n", "X-Forwarded-By-Router: 2\r\n",
          "Last-Event-Id: 12\r\n", "Content-Length: 4\r\n\r\n"})
    {
        CHECK(bytes.find(line) != std::string::npos);
    }
    CHECK(bytes.ends_with("\r\nContent-Length: 4\r\n\r\n"));
    CHECK(bytes.find("forged") == std::string::npos);
    CHECK(bytes.find("close") == std::string::npos);
    CHECK(bytes.find("1500") == std::string::npos);
}

TEST(platform_dialect_group, an_upstream_gets_no_mark_of_a_router)
{
    request.head.fields.push_back({"X-Forwarded-By-Router", "2"});
    CHECK_FALSE(request_contains("X-Forwarded-By-Router"));
    LONGS_EQUAL(
        2,
        dialect.read_request(request.head).value().forwarded_attempts.value());
}

TEST(platform_dialect_group, any_mark_leaves_at_least_one_attempt)
{
    CHECK_FALSE(dialect.read_request(request.head)
                    .value()
                    .forwarded_attempts.has_value());
    for (const char* value : {"0", "-3", "", "x", "99999999999999999999"})
    {
        ports::request_head head = request.head;
        head.fields.push_back({"x-forwarded-by-router", value});
        LONGS_EQUAL(
            1, dialect.read_request(head).value().forwarded_attempts.value());
    }
}

TEST(platform_dialect_group, only_a_marked_response_of_a_peer_is_a_promise)
{
    const auto classify = [this](int status, ports::header_fields fields) {
        return dialect.classify_peer_response({status, "", std::move(fields)});
    };
    ports::response_head refusal{503, "", {}};
    dialect.mark_error_response(refusal, drivers::refusal_stage::not_sent, "r");
    CHECK(dialect.classify_peer_response(refusal).is_not_executed);
    CHECK(dialect.classify_peer_response(refusal).is_not_sent);
    CHECK(dialect.make_caller_head(refusal).fields.size() == 1);
    ports::response_head unknown{502, "", {}};
    dialect.mark_error_response(unknown,
                                drivers::refusal_stage::outcome_unknown, "r");
    CHECK_FALSE(dialect.classify_peer_response(unknown).is_not_executed);
    CHECK(dialect.classify_peer_response(unknown).is_forwardable);
    CHECK_FALSE(classify(503, {{"X-Not-Executed", "1"}}).is_not_executed);
    CHECK_FALSE(classify(503, {{"X-Not-Executed", "1"}}).is_forwardable);
    CHECK_FALSE(classify(421, {}).is_not_executed);
    CHECK(classify(200, {{"X-Server-Stamp", "s"}, {"X-Request-Id", "r"}})
              .is_success);
    CHECK_FALSE(classify(200, {{"X-Server-Stamp", "s"}}).is_success);
    CHECK_FALSE(classify(200, {{"X-Server-Stamp", "s"}}).is_forwardable);
    CHECK_FALSE(classify(200, {{"X-Request-Id", "r"}}).is_forwardable);
    CHECK_FALSE(classify(500, {}).is_forwardable);
}

TEST(platform_dialect_group, only_marked_or_misdirected_responses_did_not_run)
{
    CHECK(dialect.classify_response({503, "", {{"X-Not-Executed", "1"}}})
              .is_not_executed);
    CHECK(dialect.classify_response({421, "", {}}).is_not_executed);
    CHECK_FALSE(dialect.classify_response({503, "", {}}).is_not_executed);
    CHECK_FALSE(dialect.classify_response({503, "", {}}).is_forwardable);
    CHECK(dialect.classify_response({500, "", {}}).is_forwardable);
}

TEST(platform_dialect_group, a_named_rate_limit_is_one_decimal_number)
{
    const auto read = [this](const std::vector<std::string>& values)
    {
        ports::response_head head{200, "OK", {}};
        for (const std::string& value : values)
        {
            head.fields.push_back({"server-limit", value});
        }
        return dialect.read_rate_limit(head);
    };
    CHECK(read({}).value() == std::nullopt);
    CHECK(read({"2.4"}).value() == 2.4);
    CHECK(read({"0"}).value() == 0.0);
    CHECK(read({"0.05"}).value() == 0.05);
    CHECK(read({"1000000000"}).value() == 1e9);
    for (const char* const malformed :
         {"", "-1", "nan", "inf", "1e9", "2,4", "2.4/s", " "})
    {
        CHECK_FALSE(read({malformed}));
        CHECK(read({malformed}).failure().code == result_code::invalid_field);
        STRCMP_EQUAL("Server-Limit", read({malformed}).failure().field.c_str());
    }
    CHECK_FALSE(read({"2.4", "2.4"}));
}

TEST(platform_dialect_group, an_upstream_says_by_one_digit_that_it_is_leaving)
{
    const auto read = [this](const std::vector<std::string>& values)
    {
        ports::response_head head{503, "", {}};
        for (const std::string& value : values)
        {
            head.fields.push_back({"server-leaving", value});
        }
        return dialect.read_leaving(head);
    };
    CHECK_FALSE(read({}).value());
    CHECK_FALSE(read({"0"}).value());
    CHECK(read({"1"}).value());
    for (const char* const malformed : {"", "2", "true", "01", " 1", "-1"})
    {
        CHECK(read({malformed}).failure().code == result_code::invalid_field);
    }
    CHECK_FALSE(read({"1", "1"}));
}

TEST(platform_dialect_group, a_pause_is_one_decimal_number_of_seconds)
{
    const auto read =
        [this](const std::vector<std::string>& values, int status = 503)
    {
        ports::response_head head{status, "", {}};
        for (const std::string& value : values)
        {
            head.fields.push_back({"retry-after", value});
        }
        return dialect.read_pause(head);
    };
    CHECK(read({}).value() == std::nullopt);
    CHECK(read({"1.5"}, 500).value() == std::nullopt);
    CHECK(read({"1.5"}).value() == std::chrono::milliseconds(1'500));
    CHECK(read({"0"}).value() == std::chrono::milliseconds(0));
    CHECK(read({"0.0001"}).value() == std::chrono::milliseconds(1));
    CHECK(read({"999999999999999999999"}).value() ==
          std::chrono::milliseconds(600'000));
    for (const char* const malformed :
         {"", "-1", "nan", "inf", "1e2", "1,5", "1 s", " 1",
          "Sat, 05 Dec 2026 09:00:00 GMT"})
    {
        CHECK(read({malformed}).failure().code == result_code::invalid_field);
    }
    CHECK_FALSE(read({"1", "1"}));
}

TEST(platform_dialect_group, a_brittle_upstream_says_one_whole_number)
{
    const auto read = [this](const std::vector<std::string>& values)
    {
        ports::response_head head{200, "", {}};
        for (const std::string& value : values)
        {
            head.fields.push_back({"server-brittle", value});
        }
        return dialect.read_brittle(head);
    };
    CHECK(read({}).value() == std::nullopt);
    CHECK(read({"0"}).value() == 0);
    CHECK(read({"3"}).value() == 3);
    for (const char* const malformed :
         {"", "-1", "2.5", "1e2", " 3", "99999999999999999999"})
    {
        CHECK(read({malformed}).failure().code == result_code::invalid_field);
    }
    CHECK_FALSE(read({"3", "3"}));
}

TEST(platform_dialect_group, failures_carry_a_code_and_a_retry_after)
{
    std::string body;
    const ports::response_head head = dialect.write_error_response(
        {result_code::grant_unavailable, "account", "none left",
         outcome::not_run, std::chrono::milliseconds(300)},
        body);
    LONGS_EQUAL(503, head.status);
    STRCMP_EQUAL("0.300",
                 ports::find_header_value(head.fields, "Retry-After")->c_str());
    CHECK(body.find("\"code\":3002") != std::string::npos);
    CHECK(body.find("\"outcome\":\"not_run\"") != std::string::npos);
}
