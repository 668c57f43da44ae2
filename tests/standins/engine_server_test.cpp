#include "libraries/adapters/system/system_clock.hpp"
#include "standins/common/response_text.hpp"
#include "standins/engine/engine_server.hpp"

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::standins;

namespace
{

/// Limits waits that end almost at once unless the test fails.
constexpr std::chrono::seconds timeout{60};
constexpr const char* chat_path = "/v1/chat/completions";

std::string make_body(const std::string& text, std::int64_t tokens,
                      bool is_streamed = false,
                      const std::string& version = "a")
{
    return json({{"model", version},
                 {"stream", is_streamed},
                 {"max_tokens", tokens},
                 {"messages", {{{"role", "user"}, {"content", text}}}}})
        .dump();
}

std::string expected_text(const std::string& prompt_text, std::int64_t first,
                          std::int64_t end)
{
    std::string prompt;
    append_message(prompt, "user", prompt_text);
    std::string text;
    for (std::int64_t index = first; index < end; ++index)
    {
        append_token(text, domain::digest_of(prompt), index);
    }
    return text;
}

/// Returns the data of each event of a stream.
std::vector<std::string> events_of(const std::string& body)
{
    const std::string marker = "data: ";
    std::vector<std::string> events;
    std::size_t begin = body.find(marker);
    while (begin != std::string::npos)
    {
        const std::size_t end = body.find("\n\n", begin);
        events.push_back(
            body.substr(begin + marker.size(), end - begin - marker.size()));
        begin = body.find(marker, end);
    }
    return events;
}

std::string streamed_text(const std::vector<std::string>& events)
{
    std::string text;
    for (const std::string& event : events)
    {
        if (event != "[DONE]")
        {
            text +=
                json::parse(event)["choices"][0]["delta"].value("content", "");
        }
    }
    return text;
}

std::string complete_response_text(const httplib::Result& reply)
{
    return json::parse(reply->body)["choices"][0]["message"]["content"]
        .get<std::string>();
}

} // namespace

TEST_GROUP(engine_server)
{
    adapters::system_clock m_clock;
    engine_server_options m_options;
    std::unique_ptr<engine_server> m_server;
    std::unique_ptr<httplib::Client> m_client;
    int m_port = 0;

    void setup() override
    {
        m_options.threads = 8;
        m_options.versions = {"a", "b"};
        m_options.enforces_fencing = true;
        m_options.engine.batch.capacity = 2;
        m_options.engine.batch.step = std::chrono::microseconds(200);
        m_options.engine.batch.prefill_per_token = std::chrono::microseconds(0);
        start();
    }

    void teardown() override
    {
        m_client.reset();
        m_server.reset();
    }

    void start()
    {
        m_server = std::make_unique<engine_server>(m_clock, m_options);
        m_port = m_server->start("127.0.0.1", 0).value_or(0);
        m_client = make_client();
    }

    std::unique_ptr<httplib::Client> make_client()
    {
        std::unique_ptr<httplib::Client> client =
            std::make_unique<httplib::Client>("127.0.0.1", m_port);
        client->set_read_timeout(timeout);
        return client;
    }

    httplib::Result post(const std::string& body,
                         const httplib::Headers& headers = {})
    {
        return m_client->Post(chat_path, headers, body, "application/json");
    }

    std::int64_t count(const std::string& name)
    {
        return m_server->counts(false)[name].get<std::int64_t>();
    }

    void wait_for_count(const std::string& name, std::int64_t expected)
    {
        const std::chrono::steady_clock::time_point deadline =
            std::chrono::steady_clock::now() + timeout;
        while (count(name) != expected &&
               std::chrono::steady_clock::now() < deadline)
        {
            std::this_thread::yield();
        }
        LONGS_EQUAL(expected, count(name));
    }
};

TEST(engine_server, complete_and_streamed_responses_match)
{
    const httplib::Result complete = post(make_body("question", 5));
    LONGS_EQUAL(200, complete->status);
    const std::string expected = expected_text("question", 0, 5);
    STRCMP_EQUAL(expected.c_str(), complete_response_text(complete).c_str());

    const httplib::Result streamed = post(make_body("question", 5, true));
    const std::vector<std::string> events = events_of(streamed->body);
    LONGS_EQUAL(7, events.size());
    STRCMP_EQUAL("[DONE]", events.back().c_str());
    STRCMP_EQUAL(expected.c_str(), streamed_text(events).c_str());
    const json last = json::parse(events.at(5));
    LONGS_EQUAL(5, last["usage"]["completion_tokens"].get<int>());
    STRCMP_EQUAL(
        "length",
        last["choices"][0]["finish_reason"].get<std::string>().c_str());
}

TEST(engine_server, message_can_request_fewer_tokens)
{
    const httplib::Result fewer = post(make_body("x [[tokens=2]]", 5));
    LONGS_EQUAL(2 * token_text_bytes, complete_response_text(fewer).size());
    const httplib::Result more = post(make_body("x [[tokens=9]]", 5));
    LONGS_EQUAL(5 * token_text_bytes, complete_response_text(more).size());
    const httplib::Result none = post(make_body("x [[tokens=0]]", 5, true));
    LONGS_EQUAL(2, events_of(none->body).size());
}

TEST(engine_server, resumed_response_continues_the_same_text)
{
    const httplib::Result resumed =
        post(make_body("question", 6, true), {{"Resume-Offset", "4"}});
    const std::vector<std::string> events = events_of(resumed->body);
    STRCMP_EQUAL(expected_text("question", 4, 6).c_str(),
                 streamed_text(events).c_str());
    const json usage = json::parse(events.at(2))["usage"];
    LONGS_EQUAL(6, usage["completion_tokens"].get<int>());
    LONGS_EQUAL(4, usage["resumed_tokens"].get<int>());
}

TEST(engine_server, invalid_requests_are_refused)
{
    LONGS_EQUAL(404, post(make_body("x", 1, false, "z"))->status);
    LONGS_EQUAL(400, post("{")->status);
    LONGS_EQUAL(400, post(R"({"model":"a"})")->status);
    LONGS_EQUAL(400,
                post(make_body("x", 1), {{"Resume-Offset", "-1"}})->status);
    LONGS_EQUAL(0, count("finished"));
}

TEST(engine_server, closed_connection_frees_its_batch_slot)
{
    m_options.engine.batch.capacity = 1;
    m_client.reset();
    start();
    httplib::Request request;
    request.method = "POST";
    request.path = chat_path;
    request.body = make_body("endless", 1'000'000'000, true);
    request.content_receiver = [](const char*, std::size_t, std::uint64_t,
                                  std::uint64_t) { return false; };
    CHECK_FALSE(static_cast<bool>(make_client()->send(request)));
    LONGS_EQUAL(200, post(make_body("next", 1))->status);
    LONGS_EQUAL(1, count("cancelled"));
}

TEST(engine_server, closed_connection_cancels_a_stalled_request)
{
    CHECK_TRUE(m_server->set_faults({{"silent_after_tokens", 0}}).has_value());
    std::unique_ptr<httplib::Client> stalled_client = make_client();
    std::thread caller(
        [&stalled_client]
        {
            stalled_client->Post(chat_path, make_body("x", 5, true),
                                 "application/json");
        });
    wait_for_count("running", 1);
    stalled_client->stop();
    caller.join();
    wait_for_count("cancelled", 1);
    LONGS_EQUAL(0, count("running"));
}

TEST(engine_server, cut_after_tokens_truncates_the_response)
{
    CHECK_TRUE(
        m_server
            ->set_faults({{"per_version", {{"b", {{"cut_after_tokens", 2}}}}}})
            .has_value());
    std::string body;
    const httplib::Headers headers;
    httplib::Request request;
    request.method = "POST";
    request.path = chat_path;
    request.body = make_body("question", 5, true, "b");
    request.content_receiver = [&body](const char* data, std::size_t size,
                                       std::uint64_t, std::uint64_t)
    {
        body.append(data, size);
        return true;
    };
    CHECK_FALSE(static_cast<bool>(m_client->send(request)));
    STRCMP_EQUAL(expected_text("question", 0, 2).c_str(),
                 streamed_text(events_of(body)).c_str());
    LONGS_EQUAL(200, post(make_body("question", 5))->status);
}

TEST(engine_server, faults_can_be_limited_to_one_version)
{
    CHECK_TRUE(
        m_server
            ->set_faults({{"per_version", {{"b", {{"fail_percent", 100}}}}}})
            .has_value());
    LONGS_EQUAL(500, post(make_body("x", 1, false, "b"))->status);
    LONGS_EQUAL(200, post(make_body("x", 1))->status);
    CHECK_FALSE(m_server->set_faults({{"slow_factor", 0.5}}).has_value());
    CHECK_FALSE(m_server->set_faults({{"nonsense", 1}}).has_value());
}

TEST(engine_server, leaving_engine_fails_its_health_check)
{
    LONGS_EQUAL(200, m_client->Get("/health")->status);
    CHECK_TRUE(m_server->set_faults({{"leaving", true}}).has_value());
    LONGS_EQUAL(503, m_client->Get("/health")->status);
    LONGS_EQUAL(200, post(make_body("x", 1))->status);
    LONGS_EQUAL(1, count("taken_while_leaving"));
}

TEST(engine_server, orders_with_an_outdated_fencing_number_are_refused)
{
    const auto order = [this](int fencing, const char* action)
    {
        const json body = {
            {"fencing", fencing}, {"action", action}, {"version", "c"}};
        return m_client->Post("/v1/orders", body.dump(), "application/json")
            ->status;
    };
    LONGS_EQUAL(200, order(5, "load_version"));
    LONGS_EQUAL(200, post(make_body("x", 1, false, "c"))->status);
    LONGS_EQUAL(409, order(4, "unload_version"));
    LONGS_EQUAL(200, post(make_body("x", 1, false, "c"))->status);
    LONGS_EQUAL(200, order(5, "unload_version"));
    LONGS_EQUAL(404, post(make_body("x", 1, false, "c"))->status);
    LONGS_EQUAL(400, order(6, "dance"));
}

TEST(engine_server, engine_without_fencing_executes_outdated_orders)
{
    order_handler handler({"a"}, false);
    CHECK_TRUE(
        handler
            .execute(
                {{"fencing", 5}, {"action", "load_version"}, {"version", "b"}})
            .has_value());
    CHECK_TRUE(handler
                   .execute({{"fencing", 4},
                             {"action", "unload_version"},
                             {"version", "b"}})
                   .has_value());
    CHECK_FALSE(handler.is_serving("b"));
}

TEST(engine_server, request_ids_are_counted)
{
    CHECK_TRUE(post(make_body("x", 1), {{"X-Request-Id", "one"}}));
    CHECK_TRUE(post(make_body("x", 1), {{"X-Request-Id", "one"}}));
    const json counts = m_server->counts(true);
    LONGS_EQUAL(2, counts["request_ids"]["one"].get<int>());
    LONGS_EQUAL(2, counts["tokens_out"].get<int>());
}

TEST(engine_server, repeated_prompt_is_cached)
{
    const std::string text(200, 'q');
    CHECK_TRUE(post(make_body(text, 1)));
    const httplib::Result second_response = post(make_body(text, 1));
    const json usage = json::parse(second_response->body)["usage"];
    LONGS_EQUAL(48, usage["prompt_tokens_details"]["cached_tokens"].get<int>());
    const std::string metrics = m_client->Get("/metrics")->body;
    STRCMP_CONTAINS("vllm:prefix_cache_hits_total 48\n", metrics.c_str());
    STRCMP_CONTAINS("vllm:num_requests_running 0\n", metrics.c_str());
}
