#include <rapidcheck.h>

#include "tests/membership/fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace std::chrono_literals;
using tests::fleet;

namespace
{

domain::membership_limits make_limits()
{
    domain::membership_limits limits;
    limits.neighbours = 2;
    limits.vm_gone_after = 3s;
    limits.max_request_duration = 5s;
    return limits;
}

void run_for(fleet& subject, std::chrono::milliseconds duration)
{
    for (std::chrono::milliseconds passed{0}; passed < duration;
         passed += fleet::round)
    {
        subject.run_round();
    }
}

std::int64_t total_share(const fleet& subject)
{
    std::int64_t sum = 0;
    for (const auto& each : subject.routers)
    {
        sum += each->died_at ? 0 : each->selector.total_share();
    }
    return sum;
}

/// Applies the event that a random draw selects: a fault, the end of one, a
/// request or a pause.
void apply_random_event(fleet& subject, std::uint32_t draw)
{
    constexpr std::uint32_t kinds = 24;
    std::uint32_t kind = draw % kinds;
    std::uint32_t rest = draw / kinds;
    std::size_t index = rest % subject.routers.size();
    fleet::router& router = *subject.routers[index];
    switch (kind)
    {
    case 0:
        subject.kill(index);
        break;
    case 1:
        subject.remove_vm(index);
        break;
    case 2:
        if (router.died_at && subject.routers.size() < 12)
        {
            subject.start(router.self.vm);
        }
        break;
    case 3:
        if (subject.routers.size() < 12)
        {
            subject.start();
        }
        break;
    case 4:
        router.partition = 1 - router.partition;
        break;
    case 5:
        router.can_reach_platform = !router.can_reach_platform;
        break;
    case 6:
        subject.is_platform_up = !subject.is_platform_up;
        break;
    case 7:
        router.is_frozen = !router.is_frozen;
        break;
    case 8:
        if (!router.died_at)
        {
            subject.leave(index);
        }
        break;
    case 9:
    case 10:
    case 11:
        if (subject.is_running(index))
        {
            subject.finish(index);
        }
        break;
    case 12:
        run_for(subject, 6s);
        break;
    case 13:
    case 14:
        run_for(subject, 1s);
        break;
    default:
        if (subject.is_running(index))
        {
            subject.dispatch(index, rest);
        }
    }
}

} // namespace

TEST_GROUP(membership_view_fleet){};

TEST(membership_view_fleet, never_exceeds_capacity_nor_locates_ended_routers)
{
    CHECK(rc::check(
        "kills, partitions, freezes, outages, restarts and leaving",
        []
        {
            domain::membership_limits limits = make_limits();
            constexpr std::int32_t capacity = 9;
            fleet subject(limits, capacity);
            std::size_t routers = *rc::gen::inRange<std::size_t>(1, 7);
            for (std::size_t index = 0; index < routers; ++index)
            {
                subject.start();
            }
            run_for(subject, 5s);
            std::vector<std::uint32_t> draws =
                *rc::gen::container<std::vector<std::uint32_t>>(
                    120, rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(
                                                  0, 1U << 20)));
            for (std::uint32_t draw : draws)
            {
                apply_random_event(subject, draw);
                RC_ASSERT(subject.total_held() <= capacity);
            }
            // A router whose version does not change becomes unreachable after
            // `stale_after`, even if no other report of its end arrives.
            run_for(subject, limits.stale_after + 5s);
            for (std::size_t observer = 0; observer < subject.routers.size();
                 ++observer)
            {
                for (std::size_t target = 0; target < subject.routers.size();
                     ++target)
                {
                    bool is_gone = subject.routers[target]->died_at ||
                                   subject.routers[target]->left_at;
                    if (subject.is_running(observer) && is_gone)
                    {
                        RC_ASSERT(!subject.locates(observer, target));
                    }
                }
            }
        }));
}

TEST(membership_view_fleet, recovers_after_any_faults)
{
    CHECK(rc::check(
        "after the faults, the running routers share all slots and locate "
        "each other",
        []
        {
            constexpr std::int32_t capacity = 9;
            fleet subject(make_limits(), capacity);
            subject.start();
            subject.start();
            run_for(subject, 5s);
            std::vector<std::uint32_t> draws =
                *rc::gen::container<std::vector<std::uint32_t>>(
                    60, rc::gen::resize(
                            100, rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
            for (std::uint32_t draw : draws)
            {
                apply_random_event(subject, draw);
            }
            subject.is_platform_up = true;
            std::size_t new_router = subject.start();
            for (std::size_t index = 0; index < subject.routers.size(); ++index)
            {
                fleet::router& router = *subject.routers[index];
                router.partition = 0;
                router.can_reach_platform = true;
                router.is_frozen = false;
                if (router.died_at && !subject.has_successor(index))
                {
                    subject.remove_vm(index);
                }
                while (!router.died_at && !router.held_choices.empty())
                {
                    subject.finish(index);
                }
            }
            // Enough for leases to expire, VMs to count as removed and the old
            // epochs to be released.
            run_for(subject, 120s);
            for (std::size_t target = 0; target < subject.routers.size();
                 ++target)
            {
                fleet::router& router = *subject.routers[target];
                // Some routers may get none of the few slots.
                bool has_share = router.selector.total_share() > 0;
                if (!router.died_at && !router.left_at && has_share)
                {
                    RC_ASSERT(subject.locates(new_router, target));
                }
            }
            RC_ASSERT(total_share(subject) == capacity);
        }));
}

TEST(membership_view_fleet, all_routers_detect_a_death_within_seconds)
{
    fleet subject(make_limits(), 64);
    for (int count = 0; count < 24; ++count)
    {
        subject.start();
    }
    run_for(subject, 10s);
    CHECK(subject.locates(0, 13));
    // The death must be detected without the platform.
    subject.is_platform_up = false;
    subject.kill(13);
    run_for(subject, make_limits().suspect_after + 3s);
    for (std::size_t observer = 0; observer < 24; ++observer)
    {
        CHECK(observer == 13 || !subject.locates(observer, 13));
        CHECK(subject.locates(observer, observer));
        CHECK(subject.locates(
            observer, (observer + 1) % 24 == 13 ? 0 : (observer + 1) % 24));
    }
}

TEST(membership_view_fleet,
     detects_leaving_within_three_and_new_routers_within_eight_seconds)
{
    fleet subject(make_limits(), 64);
    for (int count = 0; count < 24; ++count)
    {
        subject.start();
    }
    run_for(subject, 10s);
    subject.leave(5);
    run_for(subject, 3s);
    for (std::size_t observer = 0; observer < 24; ++observer)
    {
        CHECK(!subject.locates(observer, 5));
    }
    std::size_t new_router = subject.start();
    run_for(subject, 8s);
    CHECK(subject.routers[new_router]->selector.total_share() > 0);
    for (std::size_t observer = 0; observer < 24; ++observer)
    {
        CHECK(subject.locates(observer, new_router));
    }
}

TEST(membership_view_fleet, a_healed_partition_rejoins_during_a_platform_outage)
{
    fleet subject(make_limits(), 64);
    for (int count = 0; count < 6; ++count)
    {
        subject.start();
    }
    run_for(subject, 10s);
    subject.is_platform_up = false;
    for (std::size_t index : {0U, 1U, 2U})
    {
        subject.routers[index]->partition = 1;
    }
    run_for(subject, 10s);
    CHECK(!subject.locates(0, 5));
    CHECK(subject.locates(0, 2));
    for (std::size_t index : {0U, 1U, 2U})
    {
        subject.routers[index]->partition = 0;
    }
    run_for(subject, 5s);
    for (std::size_t observer = 0; observer < 6; ++observer)
    {
        for (std::size_t target = 0; target < 6; ++target)
        {
            CHECK(subject.locates(observer, target));
        }
    }
}

TEST(membership_view_fleet,
     an_unreachable_router_keeps_its_slots_until_its_vm_is_gone)
{
    fleet subject(make_limits(), 9);
    subject.start();
    subject.start();
    run_for(subject, 10s);
    std::int64_t own = subject.routers[0]->selector.total_share();
    CHECK(own < 9);
    subject.kill(1);
    run_for(subject, 60s);
    LONGS_EQUAL(own, subject.routers[0]->selector.total_share());
    subject.remove_vm(1);
    run_for(subject, 6s);
    LONGS_EQUAL(own, subject.routers[0]->selector.total_share());
    run_for(subject, 6s);
    LONGS_EQUAL(9, subject.routers[0]->selector.total_share());
}
