#include "tests/simulation/fleet_cases.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

/// Crashes after which no more than `max_late_arrivals` requests with the
/// part may reach upstreams, once routers in touch had time to learn of them.
constexpr std::size_t tolerated_crashes = 5;
constexpr std::int64_t max_late_arrivals = 3;
/// Sound requests may begin at most this much less often than without crashes.
constexpr double min_relative_service = 0.5;
constexpr std::uint64_t crashing_percent = 10;

} // namespace

// Guards against requests with a prompt part that crashes upstreams being sent
// to one upstream after the other.
TEST_GROUP(budget_crashing_prompts_group){
    void check_that_part_is_blocked(const fleet_case& played,
                                    std::uint64_t lost_percent){
        traffic_fleet fleet(played.size);
fleet.start();
fleet.lose_datagrams(lost_percent);
const double before = fleet.play(2s).complete_fraction();
CHECK_COMPARE(before, >, 0.95);
fleet.play(2 * played.contact_time, crashing_percent);
const double after = fleet.play(5s, crashing_percent).complete_fraction();
CHECK_COMPARE(fleet.upstreams().crashes.size(), >, 0);
CHECK(count_late_arrivals(fleet, tolerated_crashes, played.contact_time) <=
      max_late_arrivals);
CHECK_COMPARE(after, >=, min_relative_service* before);
}
}
;

TEST(budget_crashing_prompts_group, a_crashing_part_is_blocked_at_6_routers)
{
    check_that_part_is_blocked(small_fleet, 0);
}

TEST(budget_crashing_prompts_group, a_crashing_part_is_blocked_at_87_routers)
{
    check_that_part_is_blocked(grown_fleet, 0);
}

TEST(budget_crashing_prompts_group, lost_datagrams_do_not_let_the_part_through)
{
    constexpr std::uint64_t lost_percent = 10;
    check_that_part_is_blocked(small_fleet, lost_percent);
    check_that_part_is_blocked(grown_fleet, lost_percent);
}

TEST(budget_crashing_prompts_group, a_router_that_starts_learns_the_part)
{
    traffic_fleet fleet(small_fleet.size);
    fleet.start();
    fleet.play(8s, crashing_percent);
    const std::size_t crashes = fleet.upstreams().crashes.size();
    for (const std::size_t number : {0, 1, 2, 3, 4, 5})
    {
        fleet.restart_router(number);
        fleet.play(1s, crashing_percent);
    }
    LONGS_EQUAL(crashes, fleet.upstreams().crashes.size());
}

TEST(budget_crashing_prompts_group, a_part_stays_blocked_when_all_restart)
{
    traffic_fleet fleet(small_fleet.size);
    fleet.start();
    fleet.play(8s, crashing_percent);
    const std::size_t crashes = fleet.upstreams().crashes.size();
    fleet.restart_all_routers();
    fleet.play(4s, crashing_percent);
    LONGS_EQUAL(crashes, fleet.upstreams().crashes.size());
}

TEST(budget_crashing_prompts_group, an_outage_of_all_upstreams_blocks_no_part)
{
    for (const fleet_case& played : {small_fleet, grown_fleet})
    {
        traffic_fleet fleet(played.size);
        fleet.start();
        fleet.play(1s);
        for (int round = 0; round < 20; ++round)
        {
            for (std::size_t one = 0; one < played.size.upstreams; ++one)
            {
                fleet.upstreams().crash(one);
            }
            fleet.play(100ms);
        }
        fleet.play(3s);
        const caller_outcomes outcomes = fleet.play(3s);
        CHECK_COMPARE(outcomes.complete_fraction(), >, 0.95);
    }
}

TEST(budget_crashing_prompts_group, upstreams_that_end_at_once_block_no_part)
{
    for (const fleet_case& played : {small_fleet, grown_fleet})
    {
        traffic_fleet fleet(played.size);
        fleet.start();
        fleet.play(1s);
        for (int round = 0; round < 4; ++round)
        {
            for (std::size_t one = 0; one < played.size.upstreams / 2; ++one)
            {
                fleet.upstreams().crash(one);
            }
            fleet.play(2s);
        }
        fleet.play(3s);
        const caller_outcomes outcomes = fleet.play(3s);
        CHECK_COMPARE(outcomes.complete_fraction(), >, 0.95);
    }
}

TEST(budget_crashing_prompts_group, crashes_cause_few_further_datagrams)
{
    traffic_fleet fleet(grown_fleet.size);
    fleet.start();
    std::int64_t sent = fleet.datagrams();
    fleet.play(5s);
    const std::int64_t regular = fleet.datagrams() - sent;
    sent = fleet.datagrams();
    fleet.play(5s, crashing_percent);
    const std::int64_t during_crashes = fleet.datagrams() - sent;
    CHECK_COMPARE(during_crashes, <=, regular + regular / 4);
}
