#include "libraries/drivers/fleet/total_exchange.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

/// Keeps the addresses to which datagrams were sent.
class recording_link final : public ports::datagram_link
{
public:
    void send(const std::string& address, const std::string&) override
    {
        receivers.insert(address);
    }

    void receive(std::function<void(std::string_view)>) override {}

    std::set<std::string> receivers;
};

constexpr int small_fleet_size = 6;
constexpr int grown_fleet_size = 87;

} // namespace

TEST_GROUP(total_exchange_group)
{
    fakes::manual_clock clock;
    fakes::counting_logger log;
    recording_link link;
    ports::store_era_tracker eras;
    domain::granted_totals totals;

    /// Announces a total in a fleet of `routers` routers. Returns how many
    /// peers were sent it.
    std::size_t announce(int routers)
    {
        const drivers::fleet_member self{"self", "v", "east", "self", "self"};
        drivers::peer_table peers(self);
        std::vector<drivers::fleet_member> members{self};
        for (int number = 1; number < routers; ++number)
        {
            const std::string name = "peer-" + std::to_string(number);
            members.push_back({name, "v", "east", name, name});
        }
        peers.set_members(members, clock.steady_now());
        for (const drivers::fleet_member& member : members)
        {
            codecs::peer_digest digest;
            digest.incarnation = member.incarnation;
            digest.sequence = 1;
            peers.apply_digest(digest, clock.steady_now());
        }
        drivers::total_exchange exchange(totals, eras, link, peers, clock, log,
                                         "self", [] {});
        eras.observe(1);
        totals.merge("acme", {{1, 1}, 100});
        exchange.announce({"acme"});
        return link.receivers.size();
    }
};

// Guards against accounts overspent when one router of a small fleet survives
// a restore of the store, and had not learned of the others' last grants.
TEST(total_exchange_group, all_peers_of_a_small_fleet_learn_of_a_grant)
{
    LONGS_EQUAL(small_fleet_size - 1, announce(small_fleet_size));
}

TEST(total_exchange_group, announcements_do_not_grow_with_the_fleet)
{
    LONGS_EQUAL(8, announce(grown_fleet_size));
}
