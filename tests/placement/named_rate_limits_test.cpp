#include <rapidcheck.h>

#include "libraries/domain/placement/named_rate_limits.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t upstream = 17;

/// Returns the limits of each router of a fleet.
std::vector<named_rate_limits> make_fleet(int size)
{
    std::set<std::string> names;
    for (int router = 0; router < size; ++router)
    {
        names.insert("router-" + std::to_string(router));
    }
    std::vector<named_rate_limits> fleet;
    for (const std::string& name : names)
    {
        std::set<std::string> peers = names;
        peers.erase(name);
        fleet.emplace_back();
        fleet.back().set_routers(router_ranking(name, peers));
    }
    return fleet;
}

} // namespace

TEST_GROUP(named_rate_limits_group)
{
    named_rate_limits limits;
    ports::steady_time now{100s};

    bool answer(std::optional<double> per_second)
    {
        return limits.record_response(upstream, per_second, now, now);
    }
};

TEST(named_rate_limits_group, an_upstream_without_a_limit_is_not_limited)
{
    CHECK(limits.may_send(upstream, now));
    CHECK(limits.own_rate(upstream) == std::nullopt);
    CHECK_FALSE(answer(std::nullopt));
    CHECK(limits.report(now).empty());
}

TEST(named_rate_limits_group, requests_are_spaced_by_the_limit)
{
    CHECK(answer(2.0));
    CHECK_FALSE(answer(2.0));
    CHECK_FALSE(limits.may_send(upstream, now + 499ms));
    now += 500ms;
    CHECK(limits.may_send(upstream, now));
    limits.note_sent(upstream, now);
    CHECK_FALSE(limits.may_send(upstream, now + 499ms));
    CHECK(limits.may_send(upstream, now + 500ms));
}

TEST(named_rate_limits_group, the_shares_of_all_routers_stay_within_the_limit)
{
    CHECK(rc::check(
        "no share is below half a request a second unless the limit is, and "
        "the sum is the limit",
        [this]
        {
            const int size = *rc::gen::inRange(1, 120);
            const double limit = *rc::gen::inRange(1, 2'000) / 10.0;
            double sum = 0;
            for (named_rate_limits& router : make_fleet(size))
            {
                router.merge({{upstream, limit, now}});
                const double share = *router.own_rate(upstream);
                RC_ASSERT(share == 0 || share >= std::min(limit, 0.5));
                sum += share;
            }
            RC_ASSERT(sum <= limit * 1.000001);
            RC_ASSERT(sum >= limit * 0.999999);
        }));
}

TEST(named_rate_limits_group, the_share_of_a_router_that_left_passes_to_others)
{
    std::vector<named_rate_limits> fleet = make_fleet(2);
    for (named_rate_limits& router : fleet)
    {
        router.merge({{upstream, 0.5, now}});
    }
    CHECK(*fleet[0].own_rate(upstream) + *fleet[1].own_rate(upstream) == 0.5);
    for (named_rate_limits& router : fleet)
    {
        router.set_routers(router_ranking());
        CHECK(router.own_rate(upstream) == 0.5);
    }
}

TEST(named_rate_limits_group, a_limit_of_zero_leaves_room_to_observe_its_end)
{
    answer(0.0);
    CHECK_FALSE(limits.may_send(upstream, now + 9s));
    CHECK(limits.is_observation_due(upstream, now + 10s));
}

TEST(named_rate_limits_group, only_a_response_to_a_later_request_ends_a_limit)
{
    answer(2.0);
    const ports::steady_time named_at = now;
    now += 1s;
    CHECK_FALSE(limits.record_response(upstream, std::nullopt, named_at, now));
    CHECK(limits.own_rate(upstream) == 2.0);
    CHECK(limits.record_response(upstream, std::nullopt, named_at + 1ms, now));
    CHECK(limits.own_rate(upstream) == std::nullopt);
    CHECK(limits.may_send(upstream, now));
}

TEST(named_rate_limits_group, the_newest_observation_of_the_fleet_counts)
{
    named_rate_limits peer;
    answer(2.0);
    peer.merge(limits.report(now));
    CHECK(peer.own_rate(upstream) == 2.0);
    const std::vector<named_rate_limit> outdated = limits.report(now);
    now += 1s;
    answer(std::nullopt);
    peer.merge(limits.report(now));
    peer.merge(outdated);
    CHECK(peer.own_rate(upstream) == std::nullopt);
    CHECK(peer.report(now).empty());
}

TEST(named_rate_limits_group, limits_of_removed_upstreams_are_forgotten)
{
    answer(2.0);
    limits.keep_only({upstream + 1});
    CHECK(limits.own_rate(upstream) == std::nullopt);
    std::vector<named_rate_limit> many;
    for (std::uint64_t one = 0; one < 10'000; ++one)
    {
        many.push_back({one, 1.0, now});
    }
    limits.merge(many);
    CHECK(limits.own_rate(9'999) == std::nullopt);
}
