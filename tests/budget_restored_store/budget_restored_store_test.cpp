#include "tests/simulation/token_checks.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::tests;
using namespace std::chrono_literals;

// Guards against accounts overspent after a restore of the store, whose copy
// lacks the latest grants.
TEST_GROUP(budget_restored_store_group){};

TEST(budget_restored_store_group, tokens_granted_after_the_copy_count)
{
    for (const int routers : {small_fleet_size, grown_fleet_size})
    {
        simulated_fleet fleet(routers);
        fleet.start();
        fleet.play(1s);
        fleet.take_copy();
        fleet.play(4s);
        fleet.restore_store(1s);
        CHECK(fleet.play(2s).served_fraction() >= 0.9);
        check_all_tokens_count(fleet);
    }
}

TEST(budget_restored_store_group, accounts_are_not_overspent_to_their_end)
{
    simulated_fleet fleet(small_fleet_size);
    fleet.start();
    fleet.play(15s);
    fleet.take_copy();
    fleet.play(8s);
    fleet.restore_store(1s);
    fleet.play(20s);
    CHECK(fleet.usable_tokens() <= paid_tokens);
}

TEST(budget_restored_store_group,
     tokens_of_a_router_killed_since_the_copy_count)
{
    for (const int routers : {small_fleet_size, grown_fleet_size})
    {
        simulated_fleet fleet(routers);
        fleet.start();
        fleet.play(1s);
        fleet.take_copy();
        fleet.play(3s);
        fleet.kill(0);
        fleet.kill(3);
        fleet.play(500ms);
        fleet.restore_store(1s);
        fleet.play(3s);
        check_all_tokens_count(fleet);
    }
}

TEST(budget_restored_store_group, a_second_restore_in_a_row_loses_no_grants)
{
    simulated_fleet fleet(small_fleet_size);
    fleet.start();
    fleet.play(2s);
    fleet.take_copy();
    fleet.play(4s);
    fleet.restore_store(1s);
    fleet.restore_store(500ms);
    fleet.play(3s);
    check_all_tokens_count(fleet);
    fleet.restore_store(1s);
    fleet.play(3s);
    check_all_tokens_count(fleet);
}
