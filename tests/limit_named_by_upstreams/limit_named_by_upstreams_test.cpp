#include "tests/simulation/fleet_cases.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds window{4'000};
/// A router is bound by a limit this long after it passed on a response that
/// names it.
constexpr std::chrono::milliseconds notice_time{500};

double allowed_in_window(double limit)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    constexpr double window_seconds = 4;
    return tolerance * limit * window_seconds + slack;
}

/// Returns the largest number of requests in a window that an upstream got
/// from routers that knew its limit. The windows end after `from`.
std::int64_t count_in_worst_window(simulated_upstreams& upstreams,
                                   std::size_t upstream,
                                   ports::steady_time from)
{
    std::map<int, ports::steady_time> told_at;
    for (const passed_on_limit& one : upstreams.passed_on_limits)
    {
        if (one.upstream == upstream)
        {
            told_at.emplace(one.router, one.at);
        }
    }
    std::vector<ports::steady_time> bound;
    for (const upstream_arrival& one : upstreams.arrivals)
    {
        const auto told = told_at.find(one.router);
        if (one.upstream == upstream && told != told_at.end() &&
            one.at >= told->second + notice_time)
        {
            bound.push_back(one.at);
        }
    }
    std::int64_t worst = 0;
    for (const ports::steady_time end : bound)
    {
        const auto is_inside = [end](ports::steady_time at)
        { return at <= end && at > end - window; };
        if (end > from)
        {
            worst = std::max<std::int64_t>(
                worst, std::count_if(bound.begin(), bound.end(), is_inside));
        }
    }
    return worst;
}

std::int64_t count_arrivals(simulated_upstreams& upstreams,
                            std::size_t upstream, ports::steady_time from)
{
    return std::count_if(upstreams.arrivals.begin(), upstreams.arrivals.end(),
                         [&](const upstream_arrival& one) {
                             return one.upstream == upstream && one.at >= from;
                         });
}

} // namespace

// Guards against upstreams getting more requests than the limit that they name
// for all routers together.
TEST_GROUP(limit_named_by_upstreams_group){
    void check_limit(const fleet_case& played, const std::string& limit,
                     std::uint64_t lost_percent){
        constexpr std::size_t limited = 3;
const double per_second = std::stod(limit);
traffic_fleet fleet(played.size);
fleet.start();
fleet.lose_datagrams(lost_percent);
fleet.play(2s);
const ports::steady_time named_at = fleet.now();
for (std::size_t one = 0; one < limited; ++one)
{
    fleet.upstreams().name_limit(one, limit);
}
const caller_outcomes outcomes = fleet.play(8s);
for (std::size_t one = 0; one < limited; ++one)
{
    CHECK_COMPARE(static_cast<double>(count_in_worst_window(
                      fleet.upstreams(), one, named_at + played.contact_time)),
                  <=, allowed_in_window(per_second));
}
CHECK_COMPARE(outcomes.complete_fraction(), >=, 0.95);
}
}
;

TEST(limit_named_by_upstreams_group, a_limit_is_kept_by_6_routers_together)
{
    check_limit(small_fleet, "2.4", 0);
}

TEST(limit_named_by_upstreams_group, a_limit_is_kept_by_87_routers_together)
{
    check_limit(grown_fleet, "2.4", 0);
}

TEST(limit_named_by_upstreams_group, small_limits_are_kept)
{
    for (const char* const limit : {"0", "0.05", "1"})
    {
        check_limit(small_fleet, limit, 0);
        check_limit(grown_fleet, limit, 0);
    }
}

TEST(limit_named_by_upstreams_group, limits_are_kept_while_datagrams_are_lost)
{
    constexpr std::uint64_t lost_percent = 10;
    check_limit(small_fleet, "2.4", lost_percent);
    check_limit(grown_fleet, "2.4", lost_percent);
}

TEST(limit_named_by_upstreams_group, limited_upstreams_get_what_they_take)
{
    // A share of the limit for each router would be below one request.
    constexpr double limit = 2.4;
    constexpr double seconds = 10;
    constexpr double min_used_fraction = 0.5;
    for (const fleet_case& played : {small_fleet, grown_fleet})
    {
        traffic_fleet fleet(played.size);
        fleet.start();
        for (std::size_t one = 0; one < played.size.upstreams; ++one)
        {
            fleet.upstreams().name_limit(one, "2.4");
        }
        fleet.play(6s);
        const ports::steady_time from = fleet.now();
        fleet.play(10s);
        std::int64_t arrivals = 0;
        for (std::size_t one = 0; one < played.size.upstreams; ++one)
        {
            arrivals += count_arrivals(fleet.upstreams(), one, from);
            CHECK_COMPARE(static_cast<double>(count_in_worst_window(
                              fleet.upstreams(), one, from)),
                          <=, allowed_in_window(limit));
        }
        const double taken = limit * seconds * played.size.upstreams;
        CHECK_COMPARE(static_cast<double>(arrivals), >=,
                      min_used_fraction * taken);
    }
}

TEST(limit_named_by_upstreams_group, a_limit_ends_when_it_is_no_longer_named)
{
    for (const fleet_case& played : {small_fleet, grown_fleet})
    {
        for (const char* const limit : {"0.5", "2.4"})
        {
            traffic_fleet fleet(played.size);
            fleet.start();
            ports::steady_time from = fleet.now();
            fleet.play(5s);
            const std::int64_t before =
                count_arrivals(fleet.upstreams(), 0, from);
            fleet.upstreams().name_limit(0, limit);
            fleet.play(6s);
            fleet.upstreams().name_limit(0, std::nullopt);
            fleet.play(5s);
            from = fleet.now();
            fleet.play(5s);
            const std::int64_t after =
                count_arrivals(fleet.upstreams(), 0, from);
            CHECK_COMPARE(after, >=, before / 2);
        }
    }
}
