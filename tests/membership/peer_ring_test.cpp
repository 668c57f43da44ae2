#include "libraries/domain/membership/peer_ring.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

constexpr std::size_t neighbours = 8;

std::vector<std::string> make_members(std::size_t count)
{
    std::vector<std::string> members;
    for (std::size_t index = 0; index < count; ++index)
    {
        members.push_back("router" + std::to_string(index));
    }
    return members;
}

/// Returns the number of rounds until a change at one member has reached all
/// live members, if each of them calls each of its peers once a round and every
/// `dead_interval`-th member is dead.
std::size_t rounds_to_reach_all(std::size_t count, std::size_t dead_interval)
{
    std::vector<std::string> members = make_members(count);
    std::map<std::string, std::vector<std::string>> peers;
    std::set<std::string> live;
    for (std::size_t index = 0; index < count; ++index)
    {
        if (index % dead_interval != dead_interval - 1)
        {
            live.insert(members[index]);
            peers[members[index]] =
                choose_peers(members[index], members, neighbours);
        }
    }
    std::set<std::string> informed{members.front()};
    std::size_t rounds = 0;
    for (; informed.size() < live.size() && rounds < count; ++rounds)
    {
        std::set<std::string> next = informed;
        for (const auto& [member, peers_of_member] : peers)
        {
            for (const std::string& peer : peers_of_member)
            {
                // A call passes updates both ways, but only those received
                // before this round.
                bool has_update =
                    informed.contains(member) || informed.contains(peer);
                if (live.contains(peer) && has_update)
                {
                    next.insert(member);
                    next.insert(peer);
                }
            }
        }
        informed = std::move(next);
    }
    return rounds;
}

} // namespace

TEST_GROUP(peer_ring){};

TEST(peer_ring, a_change_reaches_all_of_330_routers_within_three_seconds)
{
    // A round is 500 ms; one round may pass before the first call.
    constexpr std::size_t rounds_in_three_seconds = 6;
    CHECK(1 + rounds_to_reach_all(330, 1000) <= rounds_in_three_seconds);
    CHECK(1 + rounds_to_reach_all(330, 5) <= rounds_in_three_seconds);
    CHECK(1 + rounds_to_reach_all(6, 1000) <= rounds_in_three_seconds);
}

TEST(peer_ring, peer_count_grows_with_the_logarithm_of_the_fleet)
{
    for (std::size_t count : {6U, 34U, 330U, 1000U})
    {
        std::size_t most = 0;
        std::vector<std::string> members = make_members(count);
        for (const std::string& member : members)
        {
            most = std::max(most,
                            choose_peers(member, members, neighbours).size());
        }
        std::size_t links = 0;
        for (std::size_t span = count / 3; span > neighbours; span /= 3)
        {
            links += 2;
        }
        CHECK(most <= 2 * neighbours + links);
        CHECK(most <= count - 1);
    }
}

TEST(peer_ring, a_new_router_changes_few_peers_of_others)
{
    std::vector<std::string> before = make_members(330);
    std::vector<std::string> after = make_members(331);
    std::size_t changed = 0;
    for (const std::string& member : before)
    {
        changed += choose_peers(member, before, neighbours) !=
                           choose_peers(member, after, neighbours)
                       ? 1
                       : 0;
    }
    // Its neighbours, and the members whose long links now end at it.
    CHECK(changed <= 2 * neighbours + 16);
}
