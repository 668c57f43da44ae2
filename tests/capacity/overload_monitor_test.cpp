#include "libraries/domain/capacity/overload_monitor.hpp"

#include <utility>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using std::chrono::milliseconds;

namespace
{

constexpr double link_mbps = 8;
/// What the link carries in one interval of its meter, in one direction.
constexpr std::size_t interval_bytes = 100'000;
constexpr milliseconds interval{100};

ports::steady_time at(milliseconds time)
{
    return ports::steady_time(std::chrono::hours(1) + time);
}

/// Lets a part of the link's capacity be received until `end`, and decides
/// anew after each interval.
void receive(overload_monitor& monitor, double part, milliseconds begin,
             milliseconds end)
{
    for (milliseconds time = begin; time < end; time += interval)
    {
        monitor.meter().record_received(
            static_cast<std::size_t>(part * interval_bytes), at(time));
        monitor.update(at(time));
    }
}

} // namespace

TEST_GROUP(overload_group){};

TEST(overload_group, link_use_is_that_of_the_busier_direction)
{
    link_meter meter(link_mbps);
    meter.record_received(interval_bytes, at(milliseconds(0)));
    meter.record_sent(2 * interval_bytes, at(milliseconds(150)));
    const link_use use = meter.use(at(milliseconds(400)));
    DOUBLES_EQUAL(0.2, use.received, 1e-9);
    DOUBLES_EQUAL(0.4, use.busier(), 1e-9);
    // Both are older than half a second, or in the present interval.
    DOUBLES_EQUAL(0, meter.use(at(milliseconds(1'000))).busier(), 1e-9);
    meter.record_received(interval_bytes, at(milliseconds(1'000)));
    DOUBLES_EQUAL(0, meter.use(at(milliseconds(1'050))).busier(), 1e-9);
}

TEST(overload_group, a_link_of_unknown_capacity_is_never_full)
{
    overload_monitor monitor(0);
    receive(monitor, 100, milliseconds(0), milliseconds(2'000));
    CHECK_FALSE(monitor.is_overloaded());
}

TEST(overload_group, a_full_link_is_an_overload_until_it_has_had_room_for_long)
{
    overload_monitor monitor(link_mbps);
    receive(monitor, 0.7, milliseconds(0), milliseconds(2'000));
    CHECK_FALSE(monitor.is_overloaded());
    receive(monitor, 0.9, milliseconds(2'000), milliseconds(3'000));
    CHECK(monitor.is_overloaded());
    receive(monitor, 0.6, milliseconds(3'000), milliseconds(9'000));
    CHECK(monitor.is_overloaded());
    receive(monitor, 0.3, milliseconds(9'000), milliseconds(10'500));
    CHECK(monitor.is_overloaded());
    receive(monitor, 0.3, milliseconds(10'500), milliseconds(11'500));
    CHECK_FALSE(monitor.is_overloaded());
}

TEST(overload_group, a_late_event_loop_is_an_overload)
{
    overload_monitor monitor(0);
    monitor.record_loop_delay(milliseconds(900), at(milliseconds(0)));
    CHECK_FALSE(monitor.update(at(milliseconds(0))));
    monitor.record_loop_delay(milliseconds(900), at(milliseconds(200)));
    CHECK(monitor.update(at(milliseconds(200))));
    CHECK(monitor.is_overloaded());
    DOUBLES_EQUAL(0.75, monitor.refused_part(at(milliseconds(200))), 1e-9);
    monitor.record_loop_delay(milliseconds(1), at(milliseconds(400)));
    CHECK_FALSE(monitor.update(at(milliseconds(400))));
    CHECK(monitor.update(at(milliseconds(2'000))));
    CHECK_FALSE(monitor.is_overloaded());
}

TEST(overload_group, more_requests_are_refused_the_fuller_the_link_is)
{
    for (const auto& [part, refused] :
         {std::pair(0.5, 0.0), std::pair(0.85, 0.0), std::pair(0.925, 0.5),
          std::pair(1.0, 0.75), std::pair(1.2, 0.75)})
    {
        overload_monitor monitor(link_mbps);
        receive(monitor, part, milliseconds(0), milliseconds(1'000));
        DOUBLES_EQUAL(refused, monitor.refused_part(at(milliseconds(1'000))),
                      1e-6);
    }
}
