#include <rapidcheck.h>

#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/domain/prepaid/prepaid_record.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

TEST_GROUP(grant_change_group)
{
    grant_demand demand;

    void setup() override
    {
        demand.prepaid_tokens = 1'000'000;
        demand.holders = 6;
    }
};

TEST(grant_change_group, never_grants_more_than_is_left)
{
    CHECK(rc::check(
        "a grant keeps the sum within the prepaid total",
        []
        {
            grant_demand any;
            any.prepaid_tokens = *rc::gen::inRange<std::int64_t>(0, 1'000'000);
            any.granted_in_all = *rc::gen::inRange<std::int64_t>(0, 1'100'000);
            any.holders = *rc::gen::inRange<std::int64_t>(1, 400);
            any.free = *rc::gen::inRange<std::int64_t>(0, 200'000);
            any.peers_free = *rc::gen::inRange<std::int64_t>(0, 500'000);
            any.tokens_per_second = *rc::gen::inRange(0, 100'000);
            any.peers_tokens_per_second = *rc::gen::inRange(0, 100'000);
            any.typical_hold = *rc::gen::inRange<std::int64_t>(0, 40'000);
            any.lacking = *rc::gen::inRange<std::int64_t>(0, 90'000);
            any.is_leaving = *rc::gen::arbitrary<bool>();
            const std::int64_t tokens = compute_grant_change(any);
            RC_ASSERT(tokens <= 0 ||
                      any.granted_in_all + tokens <= any.prepaid_tokens);
            RC_ASSERT(tokens >= -any.free);
        }));
}

TEST(grant_change_group, an_idle_router_gets_a_small_grant)
{
    const std::int64_t first = compute_grant_change(demand);
    CHECK(first > 0);
    CHECK(first < demand.prepaid_tokens / demand.holders);
}

TEST(grant_change_group, holds_a_smaller_fraction_of_a_nearly_used_account)
{
    demand.holders = 1;
    demand.tokens_per_second = 1'000'000;
    const auto held_fraction = [this](std::int64_t left)
    {
        demand.granted_in_all = demand.prepaid_tokens - left;
        return static_cast<double>(compute_grant_change(demand)) /
               static_cast<double>(left);
    };
    DOUBLES_EQUAL(0.3, held_fraction(1'000'000), 0.001);
    DOUBLES_EQUAL(0.3, held_fraction(500'000), 0.001);
    DOUBLES_EQUAL(0.075, held_fraction(250'000), 0.001);
    // With a quarter of the total left, killing all routers loses less than
    // 3 % of the total.
    CHECK(held_fraction(250'000) * 250'000 < 0.03 * 1'000'000);
}

TEST(grant_change_group, the_only_router_of_an_account_gets_what_it_consumes)
{
    demand.granted_in_all = 100'000;
    demand.free = 10'000;
    demand.tokens_per_second = 15'000;
    LONGS_EQUAL(140'000, compute_grant_change(demand));
    demand.peers_tokens_per_second = 135'000;
    CHECK(compute_grant_change(demand) < 20'000);
}

TEST(grant_change_group, losing_all_routers_leaves_most_unconsumed_tokens)
{
    // If all six routers are killed, all tokens that they hold are lost. If
    // that is nearly half of what is left, accounts cannot be served until
    // the recovery ends.
    demand.granted_in_all = 700'000;
    demand.tokens_per_second = 20'000;
    demand.peers_tokens_per_second = 100'000;
    CHECK(compute_grant_change(demand) * demand.holders <= 60'000);
}

TEST(grant_change_group, surplus_after_a_burst_is_returned)
{
    demand.granted_in_all = 600'000;
    demand.free = 400'000;
    demand.tokens_per_second = 1'000;
    demand.peers_tokens_per_second = 5'000;
    CHECK(compute_grant_change(demand) < -200'000);
}

TEST(grant_change_group, a_leaving_router_returns_tokens)
{
    demand.granted_in_all = 200'000;
    demand.free = 100'000;
    demand.tokens_per_second = 10'000;
    demand.peers_tokens_per_second = 50'000;
    demand.is_leaving = true;
    CHECK(compute_grant_change(demand) < 0);
}

TEST(grant_change_group, waiting_requests_get_the_last_tokens)
{
    demand.granted_in_all = 997'000;
    demand.lacking = 5'000;
    LONGS_EQUAL(3'000, compute_grant_change(demand));
}

TEST_GROUP(prepaid_ledger_group){};

TEST(prepaid_ledger_group, holds_stay_within_the_grant)
{
    prepaid_ledger ledger;
    ledger.set_granted("acme", 100);
    CHECK(ledger.hold("acme", 60));
    CHECK_FALSE(ledger.hold("acme", 60));
    ledger.settle("acme", 60, 20);
    CHECK(ledger.hold("acme", 60));
    LONGS_EQUAL(20, ledger.balance("acme").free());
}

TEST(prepaid_ledger_group, a_smaller_grant_only_prevents_new_holds)
{
    prepaid_ledger ledger;
    ledger.set_granted("acme", 100);
    CHECK(ledger.hold("acme", 80));
    ledger.set_granted("acme", 50);
    CHECK_FALSE(ledger.hold("acme", 1));
    ledger.settle("acme", 80, 80);
    CHECK_FALSE(ledger.hold("acme", 1));
}
