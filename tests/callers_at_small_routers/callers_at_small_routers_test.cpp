#include "libraries/domain/membership/entry_list.hpp"

#include <algorithm>

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

// Guards against requests held past their timeout at a small router, whose link
// one caller fills although large routers have room.
TEST_GROUP(callers_at_small_routers_group){};

TEST(callers_at_small_routers_group, large_ones_alone_are_listed_with_room)
{
    for (std::size_t self = 0; self < routers; ++self)
    {
        const std::vector<std::string> listed =
            list_entries(make_candidates(self), "east");
        LONGS_EQUAL(large_routers, listed.size());
        for (std::size_t router = 0; router < large_routers; ++router)
        {
            CHECK(std::find(listed.begin(), listed.end(), address_of(router)) !=
                  listed.end());
        }
    }
}
