#include "platform/platform_store.hpp"
#include "tests/exchange/exchange_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;

TEST_GROUP(platform_store_group)
{
    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    made_calls transport;
    platform::platform_store store{transport, timers, clock, "10.0.0.9:1"};

    void answer(int status, const std::string& body)
    {
        made_call& call = *transport.calls.back();
        call.head(status, {});
        call.part(body);
        call.end();
    }
};

TEST(platform_store_group, an_answer_without_its_revision_is_no_answer)
{
    for (const char* body : {"{}", "bytes", "[]", R"({"CurrentRev":"9"})"})
    {
        std::optional<result<ports::watch_batch>> batch;
        store.watch("a/", 7, std::chrono::milliseconds(10),
                    [&](result<ports::watch_batch> got)
                    { batch = std::move(got); });
        answer(200, body);
        CHECK(batch->failure().code == result_code::corrupt_value);
        std::optional<result<ports::change_outcome>> outcome;
        store.commit({}, [&](result<ports::change_outcome> got)
                     { outcome = std::move(got); });
        answer(200, body);
        CHECK(outcome->failure().code == result_code::corrupt_value);
        CHECK(outcome->failure().effect == outcome::outcome_unknown);
    }
}

TEST(platform_store_group, an_end_of_a_lease_that_failed_is_told)
{
    std::optional<result<std::monostate>> ended;
    store.revoke_lease(3, [&](result<std::monostate> got)
                       { ended = std::move(got); });
    answer(503, "");
    CHECK(ended->failure().code == result_code::platform_unavailable);
    store.revoke_lease(3, [&](result<std::monostate> got)
                       { ended = std::move(got); });
    answer(404, "");
    CHECK(ended->has_value());
}

TEST(platform_store_group, a_change_that_was_refused_tells_what_is_there)
{
    std::optional<result<ports::change_outcome>> outcome;
    store.commit({}, [&](result<ports::change_outcome> got)
                 { outcome = std::move(got); });
    answer(412, R"({"Items":[{"Key":"a","Value":"eA==","Revision":4},)"
                R"({"Key":"b","Revision":0}]})");
    const ports::change_conflict& refused =
        std::get<ports::change_conflict>(outcome->value());
    LONGS_EQUAL(1, refused.current.size());
    STRCMP_EQUAL("x", refused.current.front().value.c_str());
}
