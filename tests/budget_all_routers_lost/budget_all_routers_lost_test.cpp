#include "tests/simulation/token_checks.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::tests;
using namespace std::chrono_literals;

// Guards against accounts overspent when all routers have ended since the copy
// from which the store is restored.
TEST_GROUP(budget_all_routers_lost_group){};

TEST(budget_all_routers_lost_group, accounts_are_not_overspent_to_their_end)
{
    simulated_fleet fleet(small_fleet_size);
    fleet.start();
    fleet.play(15s);
    fleet.take_copy();
    fleet.play(8s);
    fleet.set_cut(true);
    fleet.replace_all_routers();
    fleet.restore_store(1s);
    fleet.play(20s);
    CHECK(fleet.usable_tokens() <= paid_tokens);
}

TEST(budget_all_routers_lost_group, tokens_granted_after_the_copy_count)
{
    for (const int routers : {small_fleet_size, grown_fleet_size})
    {
        simulated_fleet fleet(routers);
        fleet.start();
        fleet.play(2s);
        fleet.take_copy();
        fleet.play(2s);
        fleet.set_cut(true);
        fleet.replace_all_routers();
        fleet.restore_store(1s);
        fleet.play(3s);
        check_all_tokens_count(fleet);
    }
}

TEST(budget_all_routers_lost_group,
     accounts_that_were_idle_at_the_copy_are_not_overspent)
{
    simulated_fleet fleet(small_fleet_size);
    fleet.start();
    fleet.take_copy();
    fleet.play(4s);
    fleet.set_cut(true);
    fleet.replace_all_routers();
    fleet.restore_store(1s);
    fleet.play(6s);
    CHECK(fleet.usable_tokens() <= fleet.granted_in_all());
}

TEST(budget_all_routers_lost_group, a_loss_without_a_restore_withholds_nothing)
{
    simulated_fleet fleet(small_fleet_size);
    fleet.start();
    fleet.play(2s);
    fleet.replace_all_routers();
    fleet.play(4s);
    CHECK(fleet.play(3s).served_fraction() >= 0.99);
}
