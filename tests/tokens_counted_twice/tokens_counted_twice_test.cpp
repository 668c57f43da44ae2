#include "tests/simulation/token_checks.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::tests;
using namespace std::chrono_literals;

// Guards against accounts that are refused early, because tokens of the era
// before the last were added to records that count them.
TEST_GROUP(tokens_counted_twice_group){};

TEST(tokens_counted_twice_group, after_two_restores_to_one_copy)
{
    for (const int routers : {small_fleet_size, grown_fleet_size})
    {
        simulated_fleet fleet(routers);
        fleet.start();
        fleet.play(1s);
        fleet.take_copy();
        fleet.play(5s);
        fleet.restore_store(500ms);
        fleet.play(500ms);
        fleet.restore_store(500ms);
        fleet.play(2s);
        check_all_tokens_count(fleet);
        const std::int64_t usable = fleet.usable_tokens();
        CHECK(fleet.granted_in_all() - usable <= usable / 20);
    }
}
