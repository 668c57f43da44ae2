#include <rapidcheck.h>

#include "libraries/domain/membership/locate.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

membership_snapshot make_snapshot(std::size_t routers)
{
    membership_snapshot snapshot;
    for (std::size_t index = 0; index < routers; ++index)
    {
        member_status& status = snapshot.members.emplace_back();
        status.row.identity.incarnation = "router" + std::to_string(index);
        status.row.identity.address = status.row.identity.incarnation + ":80";
        status.row.share = 16;
        status.is_eligible = true;
    }
    return snapshot;
}

std::set<std::string> chosen_of(const locate_response& response)
{
    std::set<std::string> chosen;
    for (const located_router& router : response.routers)
    {
        if (router.weight > 0)
        {
            chosen.insert(router.address);
        }
    }
    return chosen;
}

} // namespace

TEST_GROUP(locate){};

TEST(locate, lists_only_eligible_routers)
{
    CHECK(rc::check(
        "only eligible routers are listed, and at least one if there is any",
        []
        {
            membership_snapshot snapshot =
                make_snapshot(*rc::gen::inRange<std::size_t>(1, 30));
            std::set<std::string> eligible;
            for (member_status& status : snapshot.members)
            {
                status.is_eligible = *rc::gen::arbitrary<bool>();
                status.row.share = *rc::gen::inRange(0, 9);
                status.row.load = *rc::gen::inRange(0, 20);
                if (status.is_eligible)
                {
                    eligible.insert(status.row.identity.address);
                }
            }
            locate_response response = locate(
                snapshot, {"account", *rc::gen::inRange(0, 100) / 100.0}, {});
            RC_ASSERT(response.routers.empty() == eligible.empty());
            for (const located_router& router : response.routers)
            {
                RC_ASSERT(eligible.contains(router.address));
            }
        }));
}

TEST(locate, keeps_an_account_on_few_routers)
{
    membership_snapshot snapshot = make_snapshot(330);
    locate_limits limits;
    locate_response small = locate(snapshot, {"small", 0.001}, limits);
    LONGS_EQUAL(limits.min_routers, chosen_of(small).size());
    LONGS_EQUAL(limits.min_routers + limits.failover_routers,
                small.routers.size());
    locate_response large = locate(snapshot, {"large", 0.2}, limits);
    LONGS_EQUAL(99, chosen_of(large).size());
    // When one router is gone, at most one of the account's routers changes.
    snapshot.members[7].is_eligible = false;
    std::set<std::string> before = chosen_of(small);
    std::set<std::string> after =
        chosen_of(locate(snapshot, {"small", 0.001}, limits));
    std::vector<std::string> moved;
    std::set_difference(after.begin(), after.end(), before.begin(),
                        before.end(), std::back_inserter(moved));
    CHECK(moved.size() <= 1);
}

TEST(locate, weighs_routers_by_free_slots)
{
    membership_snapshot snapshot = make_snapshot(2);
    snapshot.members[0].row.load = 12;
    snapshot.members[1].row.load = 40;
    locate_response response = locate(snapshot, {"account", 1.0}, {});
    for (const located_router& router : response.routers)
    {
        LONGS_EQUAL(router.address == "router0:80" ? 4 : 1, router.weight);
    }
}
