#include "tests/budget_driver/service_world.hpp"

#include "libraries/drivers/budget/claim_service.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using drivers::claim_service;
using fakes::store_fault;
using tests::service_world;

TEST_GROUP(claim_service)
{
    service_world world;
    claim_service first{world.store, world.clock,           world.random,
                        world.log,   world.settings.claims, "r1"};
    claim_service second{world.store, world.clock,           world.random,
                         world.log,   world.settings.claims, "r2"};

    result_code refusal(claim_service & service)
    {
        status claimed = service.claim("acme", "a", world.late());
        CHECK_FALSE(claimed.has_value());
        CHECK_TRUE(claimed.failure().effect == outcome::outcome_unknown);
        return claimed.failure().code;
    }
};

TEST(claim_service, grants_a_request_once)
{
    CHECK_TRUE(first.claim("acme", "a", world.late()).has_value());
    CHECK_TRUE(refusal(first) == result_code::duplicate_request);
    CHECK_TRUE(refusal(second) == result_code::duplicate_request);
    CHECK_TRUE(second.claim("acme", "b", world.late()).has_value());
}

TEST(claim_service, resolves_an_unknown_outcome_by_reading)
{
    world.store.script({store_fault::lost_reply, store_fault::unavailable});
    CHECK_TRUE(first.claim("acme", "a", world.late()).has_value());
    CHECK_TRUE(refusal(second) == result_code::duplicate_request);
}

TEST(claim_service, refuses_what_it_cannot_resolve)
{
    world.store.script({store_fault::delayed_effect});
    world.store.set_hook(
        [this] { world.store.set_outage(world.store.counts().writes > 0); });
    CHECK_TRUE(refusal(first) == result_code::claim_unresolved);
    world.store.set_hook({});
    world.store.set_outage(false);
    world.store.apply_delayed_writes();
    CHECK_TRUE(refusal(first) == result_code::duplicate_request);
}

TEST(claim_service, collects_old_claims_only)
{
    CHECK_TRUE(first.claim("acme", "a", world.late()).has_value());
    LONGS_EQUAL(0, first.collect().value());
    world.settings.claims.kept_time = std::chrono::seconds(-3600);
    claim_service old{world.store, world.clock,           world.random,
                      world.log,   world.settings.claims, "r0"};
    CHECK_TRUE(old.claim("acme", "b", world.late()).has_value());
    LONGS_EQUAL(1, first.collect().value());
    CHECK_TRUE(refusal(second) == result_code::duplicate_request);
}

TEST(claim_service, names_a_bad_request_id)
{
    STRCMP_EQUAL(
        "request_id",
        first.claim("acme", "a/b", world.late()).failure().field.c_str());
}
