#include "tests/simulation/simulated_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

// Guards against an older configuration in force after a restore of the store,
// whose copy lacks the latest one.
TEST_GROUP(config_restored_store_group){};

TEST(config_restored_store_group, a_router_that_starts_then_gets_the_newest)
{
    for (const int routers : {6, 25})
    {
        simulated_fleet fleet(routers);
        fleet.start();
        fleet.take_copy();
        fleet.set_configuration(2);
        fleet.play(1s);
        LONGS_EQUAL(2, fleet.lowest_configuration());
        fleet.restore_store(1s);
        fleet.start_another_router();
        fleet.play(1s);
        LONGS_EQUAL(2, fleet.lowest_configuration());
        fleet.set_configuration(2);
        fleet.set_configuration(3);
        fleet.play(1s);
        LONGS_EQUAL(3, fleet.lowest_configuration());
    }
}
