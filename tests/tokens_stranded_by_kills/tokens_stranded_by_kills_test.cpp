#include "tests/simulation/token_checks.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::tests;
using namespace std::chrono_literals;

// Guards against tokens that stay counted since the routers that held them were
// killed.
TEST_GROUP(tokens_stranded_by_kills_group){};

TEST(tokens_stranded_by_kills_group, at_most_what_was_in_flight_stays_counted)
{
    simulated_fleet fleet(small_fleet_size);
    fleet.start();
    fleet.play(6s);
    for (int time = 0; time < 3; ++time)
    {
        std::vector<std::size_t> running = fleet.list_running();
        running.resize(running.size() / 3);
        fleet.replace(running, 1500ms);
        fleet.play(2s);
    }
    fleet.play(3s);
    CHECK(fleet.usable_tokens() <= fleet.granted_in_all());
    CHECK(fleet.granted_in_all() - fleet.usable_tokens() <=
          fleet.lost_in_flight());
}
