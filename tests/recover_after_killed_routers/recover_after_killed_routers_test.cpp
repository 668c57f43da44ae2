#include "tests/simulation/token_checks.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

/// Ends a third of the routers `times` times, with 4 s between.
void replace_a_third(simulated_fleet& fleet, int times)
{
    for (int time = 0; time < times; ++time)
    {
        std::vector<std::size_t> running = fleet.list_running();
        running.resize(running.size() / 3);
        fleet.replace(running, 1500ms);
        fleet.play(2s);
    }
}

} // namespace

// Guards against callers that are refused after routers were killed, as what
// those held counts as spent for good.
TEST_GROUP(recover_after_killed_routers_group){};

TEST(recover_after_killed_routers_group, callers_get_what_they_have_paid_for)
{
    simulated_fleet fleet(small_fleet_size);
    fleet.start();
    fleet.play(6s);
    replace_a_third(fleet, 5);
    fleet.play(4s);
    CHECK(fleet.usable_tokens() <= fleet.granted_in_all());
    // Three quarters of the totals are consumed by then.
    CHECK(fleet.play(2s).served_fraction() >= 0.9);
}
