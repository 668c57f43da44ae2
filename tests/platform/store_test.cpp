#include "platform/platform_store.hpp"
#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;

TEST_GROUP(platform_store_group)
{
    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    fake_upstream_transport transport;
    platform::platform_store store{transport, timers, clock, "10.0.0.9:1"};

    void respond(int status, const std::string& body)
    {
        fake_upstream_call& call = *transport.calls.back();
        call.head(status, {});
        call.part(body);
        call.end();
    }
};

TEST(platform_store_group, a_response_without_a_revision_is_corrupt)
{
    for (const char* body : {"{}", "bytes", "[]", R"({"CurrentRev":"9"})"})
    {
        std::optional<result<ports::watch_batch>> batch;
        store.watch("a/", 7, std::chrono::milliseconds(10),
                    [&](result<ports::watch_batch> received)
                    { batch = std::move(received); });
        respond(200, body);
        CHECK(batch->failure().code == result_code::corrupt_value);
        std::optional<result<ports::change_outcome>> outcome;
        store.commit({}, [&](result<ports::change_outcome> received)
                     { outcome = std::move(received); });
        respond(200, body);
        CHECK(outcome->failure().code == result_code::corrupt_value);
        CHECK(outcome->failure().effect == outcome::outcome_unknown);
    }
}

TEST(platform_store_group, a_failure_to_end_a_lease_is_reported)
{
    std::optional<result<std::monostate>> ended;
    store.revoke_lease(3, [&](result<std::monostate> received)
                       { ended = std::move(received); });
    respond(503, "");
    CHECK(ended->failure().code == result_code::platform_unavailable);
    store.revoke_lease(3, [&](result<std::monostate> received)
                       { ended = std::move(received); });
    respond(404, "");
    CHECK(ended->has_value());
}

TEST(platform_store_group, a_refused_change_reports_the_current_keys)
{
    std::optional<result<ports::change_outcome>> outcome;
    store.commit({}, [&](result<ports::change_outcome> received)
                 { outcome = std::move(received); });
    respond(412, R"({"Items":[{"Key":"a","Value":"eA==","Revision":4},)"
                 R"({"Key":"b","Revision":0}]})");
    const ports::change_conflict& refused =
        std::get<ports::change_conflict>(outcome->value());
    LONGS_EQUAL(1, refused.current.size());
    STRCMP_EQUAL("x", refused.current.front().value.c_str());
}
