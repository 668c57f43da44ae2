#include "tests/budget_driver/budget_service_fixture.hpp"

#include "libraries/drivers/budget/claim_service.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using drivers::claim_service;
using fakes::store_fault;
using tests::budget_service_fixture;

TEST_GROUP(claim_service)
{
    budget_service_fixture fixture;
    claim_service first{fixture.store, fixture.clock,           fixture.random,
                        fixture.log,   fixture.settings.claims, "r1"};
    claim_service second{fixture.store, fixture.clock,           fixture.random,
                         fixture.log,   fixture.settings.claims, "r2"};

    result_code claim_failure_code(claim_service & service)
    {
        status claimed = service.claim("acme", "a", fixture.long_deadline());
        CHECK_FALSE(claimed.has_value());
        CHECK_TRUE(claimed.failure().effect == outcome::outcome_unknown);
        return claimed.failure().code;
    }
};

TEST(claim_service, grants_the_claim_of_a_request_once)
{
    CHECK_TRUE(first.claim("acme", "a", fixture.long_deadline()).has_value());
    CHECK_TRUE(claim_failure_code(first) == result_code::duplicate_request);
    CHECK_TRUE(claim_failure_code(second) == result_code::duplicate_request);
    CHECK_TRUE(second.claim("acme", "b", fixture.long_deadline()).has_value());
}

TEST(claim_service, resolves_an_unknown_outcome_by_reading)
{
    fixture.store.script({store_fault::lost_reply, store_fault::unavailable});
    CHECK_TRUE(first.claim("acme", "a", fixture.long_deadline()).has_value());
    CHECK_TRUE(claim_failure_code(second) == result_code::duplicate_request);
}

TEST(claim_service, refuses_a_claim_that_it_cannot_resolve)
{
    fixture.store.script({store_fault::delayed_effect});
    fixture.store.set_hook(
        [this]
        { fixture.store.set_outage(fixture.store.counts().writes > 0); });
    CHECK_TRUE(claim_failure_code(first) == result_code::claim_unresolved);
    fixture.store.set_hook({});
    fixture.store.set_outage(false);
    fixture.store.apply_delayed_writes();
    CHECK_TRUE(claim_failure_code(first) == result_code::duplicate_request);
}

TEST(claim_service, collects_only_expired_claims)
{
    CHECK_TRUE(first.claim("acme", "a", fixture.long_deadline()).has_value());
    LONGS_EQUAL(0, first.collect_expired_claims().value());
    fixture.settings.claims.retention = std::chrono::seconds(-3600);
    claim_service old{fixture.store, fixture.clock,           fixture.random,
                      fixture.log,   fixture.settings.claims, "r0"};
    CHECK_TRUE(old.claim("acme", "b", fixture.long_deadline()).has_value());
    LONGS_EQUAL(1, first.collect_expired_claims().value());
    CHECK_TRUE(claim_failure_code(second) == result_code::duplicate_request);
}

TEST(claim_service, rejects_a_request_id_with_a_slash)
{
    STRCMP_EQUAL("request_id",
                 first.claim("acme", "a/b", fixture.long_deadline())
                     .failure()
                     .field.c_str());
}
