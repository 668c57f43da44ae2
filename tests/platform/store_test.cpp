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

    void respond(int status, const std::string& body,
                 const ports::header_fields& fields = {})
    {
        fake_upstream_call& call = *transport.calls.back();
        call.head(status, fields);
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

TEST(platform_store_group, each_response_names_the_era_of_the_store)
{
    int restored = 0;
    store.eras().add_listener([&](ports::store_era) { ++restored; });
    const auto end_lease = [this](int status, const ports::header_fields& head)
    {
        std::optional<result<std::monostate>> ended;
        store.revoke_lease(3, [&](result<std::monostate> received)
                           { ended = std::move(received); });
        respond(status, "", head);
        return ended->has_value();
    };
    CHECK(end_lease(200, {{"Store-Era", "4"}}));
    LONGS_EQUAL(4, store.eras().current());
    LONGS_EQUAL(0, restored);
    for (const char* unreadable : {"", "x", "-9", "5x", "99999999999999999999"})
    {
        CHECK(end_lease(200, {{"Store-Era", unreadable}}));
        LONGS_EQUAL(4, store.eras().current());
    }
    CHECK_FALSE(end_lease(503, {{"store-era", "5"}}));
    LONGS_EQUAL(5, store.eras().current());
    LONGS_EQUAL(1, restored);
}

// One response with a garbled era made all later ones count as lost for good.
TEST(platform_store_group, an_era_beyond_all_plausible_ones_is_not_recorded)
{
    store.eras().observe(4);
    for (const char* era : {"9000000000000000000", "9223372036854775807"})
    {
        std::optional<result<std::monostate>> ended;
        store.revoke_lease(3, [&](result<std::monostate> received)
                           { ended = std::move(received); });
        respond(200, "", {{"Store-Era", era}});
        CHECK(ended->has_value());
        LONGS_EQUAL(4, store.eras().current());
    }
    store.eras().observe(ports::max_store_era);
    LONGS_EQUAL(ports::max_store_era, store.eras().current());
}

TEST(platform_store_group, a_response_of_an_era_that_is_over_counts_as_lost)
{
    store.eras().observe(5);
    std::optional<result<ports::change_outcome>> outcome;
    store.commit({}, [&](result<ports::change_outcome> received)
                 { outcome = std::move(received); });
    respond(200, R"({"Revision":9})", {{"Store-Era", "4"}});
    CHECK(outcome->failure().code == result_code::platform_outcome_unknown);
}

TEST(platform_store_group, pages_of_two_eras_are_not_joined)
{
    std::optional<result<ports::key_range>> range;
    store.list("a/", [&](result<ports::key_range> received)
               { range = std::move(received); });
    respond(200,
            R"({"Items":[{"Key":"a/1","Value":"eA==","Revision":4}],)"
            R"("CurrentRev":9,"MorePages":true})",
            {{"Store-Era", "4"}});
    respond(200, R"({"Items":[],"CurrentRev":7})", {{"Store-Era", "5"}});
    CHECK(range->failure().code == result_code::platform_timeout);
}

TEST(platform_store_group, a_response_with_keys_of_another_call_is_corrupt)
{
    const std::string item =
        R"({"Key":"op/config","Value":"","Revision":8,"Created":8,"Lease":0})";
    std::optional<result<ports::watch_batch>> batch;
    store.watch("turmericfront/members/", 7, std::chrono::milliseconds(10),
                [&](result<ports::watch_batch> received)
                { batch = std::move(received); });
    respond(200, R"({"CurrentRev":9,"events":[)" + item + "]}");
    CHECK(!*batch);
    CHECK(batch->failure().code == result_code::corrupt_value);
    std::optional<result<ports::key_range>> range;
    store.list("turmericfront/members/", [&](result<ports::key_range> received)
               { range = std::move(received); });
    respond(200, R"({"CurrentRev":9,"Items":[)" + item + "]}");
    CHECK(!*range);
    CHECK(range->failure().code == result_code::corrupt_value);
}
