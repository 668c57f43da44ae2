#include "libraries/domain/membership/entry_list.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

constexpr router_capacity large{0.5, 200};
constexpr router_capacity small{0.12, 10};
constexpr std::size_t large_routers = 2;
constexpr std::size_t routers = 22;

std::string address_of(std::size_t router)
{
    return "10.0.0." + std::to_string(router + 1) + ":80";
}

/// The routers of one data centre, as the router `self` knows them.
std::vector<entry_candidate> make_candidates(std::size_t self)
{
    std::vector<entry_candidate> all;
    for (std::size_t router = 0; router < routers; ++router)
    {
        all.push_back({address_of(router), "east", router == self, false, true,
                       router < large_routers ? large : small});
    }
    return all;
}

} // namespace

TEST_GROUP(entry_list_capacity_group){};

/// Guards against a small router whose link carries as many callers as that of
/// one twenty times as fast: it was full, and nine in ten requests failed.
TEST(entry_list_capacity_group, callers_of_all_directories_follow_the_capacity)
{
    std::map<std::string, double> callers;
    for (std::size_t self = 0; self < routers; ++self)
    {
        const std::vector<std::string> listed =
            list_entries(make_candidates(self), "east");
        for (const std::string& address : listed)
        {
            callers[address] += 1.0 / static_cast<double>(listed.size());
        }
    }
    double of_small = 0;
    for (std::size_t router = large_routers; router < routers; ++router)
    {
        of_small += callers[address_of(router)];
    }
    const double of_large = callers[address_of(0)] + callers[address_of(1)];
    // By capacity at least, the small ones carry 2.5 parts of 4.5.
    CHECK(of_large / large_routers > 4 * of_small / (routers - large_routers));
    CHECK(of_small > of_large / 4);
}

TEST(entry_list_capacity_group, a_directory_lists_the_same_routers_each_time)
{
    CHECK(list_entries(make_candidates(5), "east") ==
          list_entries(make_candidates(5), "east"));
    // The loss of one changes nothing for the others.
    std::vector<entry_candidate> fewer = make_candidates(5);
    const std::vector<std::string> before = list_entries(fewer, "east");
    fewer.pop_back();
    const std::vector<std::string> after = list_entries(fewer, "east");
    for (const std::string& address : after)
    {
        CHECK(std::set<std::string>(before.begin(), before.end())
                  .count(address) == 1);
    }
}

TEST(entry_list_capacity_group,
     equal_routers_and_unstated_capacities_are_listed)
{
    std::vector<entry_candidate> equal = make_candidates(5);
    for (entry_candidate& one : equal)
    {
        one.capacity = small;
    }
    LONGS_EQUAL(routers, list_entries(equal, "east").size());
    for (entry_candidate& one : equal)
    {
        one.capacity = {};
    }
    LONGS_EQUAL(routers, list_entries(equal, "east").size());
}

/// Guards against an empty list, or one without the routers near the caller.
TEST(entry_list_capacity_group, each_data_centre_keeps_its_largest_routers)
{
    std::vector<entry_candidate> all = make_candidates(5);
    all.push_back({"10.0.1.1:80", "west", false, false, true, small});
    const std::vector<std::string> listed = list_entries(all, "west");
    STRCMP_EQUAL("10.0.1.1:80", listed.front().c_str());
    LONGS_EQUAL(1, list_entries({all[5]}, "east").size());
}

/// Guards against callers that stay at a router whose link is full.
TEST(entry_list_capacity_group, an_overloaded_router_is_not_listed)
{
    std::vector<entry_candidate> all = make_candidates(0);
    all[1].is_overloaded = true;
    const std::vector<std::string> listed = list_entries(all, "east");
    CHECK(std::find(listed.begin(), listed.end(), address_of(1)) ==
          listed.end());
    CHECK(std::find(listed.begin(), listed.end(), address_of(0)) !=
          listed.end());
    all[1].is_overloaded = false;
    all[0].is_overloaded = true;
    STRCMP_EQUAL(address_of(1).c_str(),
                 list_entries(all, "east").front().c_str());
}

/// Guards against an overload that goes from router to router, since the few
/// that are left get all callers.
TEST(entry_list_capacity_group,
     overloaded_routers_stay_listed_if_the_others_have_too_little_capacity)
{
    std::vector<entry_candidate> all = make_candidates(0);
    const std::vector<std::string> before = list_entries(all, "east");
    for (std::size_t router = 0; router < routers; ++router)
    {
        all[router].is_overloaded = router < large_routers;
    }
    CHECK(before == list_entries(all, "east"));
    for (entry_candidate& one : all)
    {
        one.is_overloaded = true;
    }
    CHECK(before == list_entries(all, "east"));
}
