#include "libraries/adapters/system/system_clock.hpp"
#include "standins/engine/engine_server.hpp"
#include "utilities/turmeric_load/load_run.hpp"

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::standins;

TEST_GROUP(load_run)
{
    adapters::system_clock m_clock;
    std::unique_ptr<engine_server> m_first_engine;
    std::unique_ptr<engine_server> m_second_engine;
    load::load_options m_options;

    void setup() override
    {
        m_first_engine = start_engine();
        m_second_engine = start_engine();
        m_options.is_direct = true;
        m_options.route = "a";
        m_options.concurrency = 8;
        m_options.requests = 40;
        m_options.min_tokens = 1;
        m_options.max_tokens = 20;
    }

    void teardown() override
    {
        m_first_engine.reset();
        m_second_engine.reset();
    }

    std::unique_ptr<engine_server> start_engine()
    {
        engine_server_options options;
        options.threads = 16;
        options.versions = {"a"};
        options.engine.batch.step = std::chrono::microseconds(200);
        std::unique_ptr<engine_server> server =
            std::make_unique<engine_server>(m_clock, options);
        const int port = server->start("127.0.0.1", 0).value_or(0);
        m_options.targets.push_back("127.0.0.1:" + std::to_string(port));
        return server;
    }

    json run_all()
    {
        load::router_directory routers(m_options);
        CHECK_TRUE(routers.start());
        const load::load_outcome outcome = load::run_load(m_options, routers);
        return outcome.report.to_json(outcome.elapsed);
    }
};

TEST(load_run, all_responses_are_complete)
{
    const json report = run_all();
    LONGS_EQUAL(40, report["requests"]["whole"].get<int>());
    CHECK_TRUE(report["no_answer_broken"].get<bool>());
    LONGS_EQUAL(report["tokens"]["delivered"].get<int>(),
                m_first_engine->counts(false)["tokens_out"].get<int>() +
                    m_second_engine->counts(false)["tokens_out"].get<int>());
}

TEST(load_run, unstreamed_responses_on_new_connections_are_complete)
{
    m_options.is_streamed = false;
    m_options.keeps_connections = false;
    LONGS_EQUAL(40, run_all()["requests"]["whole"].get<int>());
}

TEST(load_run, slow_readers_receive_complete_responses)
{
    m_options.slow_percent = 50;
    m_options.read_bytes_per_second = 200'000;
    LONGS_EQUAL(40, run_all()["requests"]["whole"].get<int>());
}

TEST(load_run, truncated_responses_are_reported)
{
    m_options.min_tokens = 5;
    for (engine_server* server : {m_first_engine.get(), m_second_engine.get()})
    {
        CHECK_TRUE(server->set_faults({{"cut_after_tokens", 3}}).has_value());
    }
    const json report = run_all();
    LONGS_EQUAL(40, report["requests"]["cut"].get<int>());
    CHECK_FALSE(report["no_answer_broken"].get<bool>());
}

TEST(load_run, retries_on_another_target_complete_the_response)
{
    m_options.min_tokens = 5;
    m_options.max_attempts = 2;
    CHECK_TRUE(
        m_first_engine->set_faults({{"cut_after_tokens", 3}}).has_value());
    const json report = run_all();
    LONGS_EQUAL(40, report["requests"]["whole"].get<int>());
    CHECK_TRUE(report["retries"]["cut"].get<int>() > 0);
}

TEST(load_run, refusals_and_unreachable_targets_are_counted_separately)
{
    m_options.requests = 8;
    m_options.route = "z";
    LONGS_EQUAL(8, run_all()["refusals"]["http 404 code 0 -"].get<int>());
    m_options.targets = {"127.0.0.1:1"};
    const json report = run_all();
    LONGS_EQUAL(8, report["requests"]["unreachable"].get<int>());
    CHECK_TRUE(report["no_answer_broken"].get<bool>());
}
