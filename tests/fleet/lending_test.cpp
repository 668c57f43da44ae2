#include "libraries/drivers/fleet/fleet_control.hpp"
#include "libraries/fakes/recording_logger.hpp"
#include "tests/fleet/store_world.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

/// Passes datagrams on between the routers of a test at once.
struct datagram_net
{
    /// How often each datagram to this address arrives.
    std::map<std::string, int> copies;
    std::map<std::string, std::function<void(std::string_view)>> receivers;
};

class net_link final : public ports::datagram_link
{
public:
    net_link(datagram_net& net, std::string address)
        : m_net(net)
        , m_address(std::move(address))
    {
    }

    void send(const std::string& address, const std::string& bytes) override
    {
        const auto receiver = m_net.receivers.find(address);
        if (receiver == m_net.receivers.end())
        {
            return;
        }
        const auto copies = m_net.copies.find(address);
        const int count = copies == m_net.copies.end() ? 1 : copies->second;
        for (int copy = 0; copy < count; ++copy)
        {
            receiver->second(bytes);
        }
    }

    void receive(std::function<void(std::string_view)> received) override
    {
        m_net.receivers[m_address] = std::move(received);
    }

private:
    datagram_net& m_net;
    std::string m_address;
};

/// A traffic thread that lacks what the test says and spends nothing.
class scripted_traffic final : public drivers::traffic_link
{
public:
    void set_routes(std::shared_ptr<const domain::route_table>) override {}

    void set_upstreams(std::vector<domain::upstream_entry>) override {}

    void set_fleet(drivers::fleet_view view) override
    {
        granted = view.accounts["acme"].own_granted;
    }

    void ask(std::function<void(drivers::traffic_digest)> done) override
    {
        drivers::traffic_digest digest;
        drivers::account_token_demand& need = digest.accounts["acme"];
        need.granted = granted;
        need.free = free();
        need.lacking = lacking;
        done(digest);
    }

    void release(const std::string&, std::int64_t wanted,
                 std::function<void(std::int64_t)> done) override
    {
        const std::int64_t taken = std::clamp<std::int64_t>(wanted, 0, free());
        released += taken;
        done(taken);
    }

    std::int64_t free() const
    {
        return granted - released;
    }

    std::int64_t granted = 0;
    std::int64_t released = 0;
    std::int64_t lacking = 0;
};

result<domain::route_declarations> declare_acme(std::string_view)
{
    domain::route_declarations made;
    made.version = 1;
    made.accounts.push_back({"acme", {"key"}, std::nullopt, 100'000});
    return made;
}

result<domain::upstream_entry> read_no_upstream(std::string_view,
                                                std::string_view)
{
    return error{result_code::bad_argument, "", ""};
}

struct world
{
    fakes::manual_clock clock;
    manual_timers timers{clock};
    fakes::recording_logger log;
    store_world store;
    datagram_net net;
};

struct router
{
    router(world& shared, const std::string& name)
        : link(shared.net, name)
        , control(
              {shared.store, shared.timers, shared.clock, link, traffic,
               shared.log, [](const auto&, const auto& done) { done(""); }},
              {"configuration", "upstreams/", &declare_acme, &read_no_upstream},
              {name, name, "east", name, name})
    {
    }

    scripted_traffic traffic;
    net_link link;
    drivers::fleet_control control;
};

} // namespace

TEST_GROUP(lending_group)
{
    world shared;
    router one{shared, "one"};
    router two{shared, "two"};

    void setup() override
    {
        ports::store_change change;
        change.writes.push_back({"configuration", "any", 0});
        shared.store.commit(change, [](const auto&) {});
        one.control.start();
        two.control.start();
        for (int round = 0; round < 20; ++round)
        {
            pass(200ms);
        }
    }

    void pass(std::chrono::milliseconds time)
    {
        shared.store.run_all();
        shared.store.answer_watches();
        shared.timers.advance(time);
    }

    /// Lets `two` lack some tokens and look for them, while datagrams to
    /// `address` arrive `copies` times. Returns what both can spend less.
    std::int64_t lost_by_lending(const std::string& address, int copies)
    {
        const std::int64_t had = one.traffic.free() + two.traffic.free();
        shared.net.copies[address] = copies;
        two.traffic.lacking = lent;
        two.control.review_tokens();
        return had - one.traffic.free() - two.traffic.free();
    }

    static constexpr std::int64_t lent = 100;
};

TEST(lending_group, a_peer_lends_before_a_slow_store_grants)
{
    // The store is slow, yet answers: the request that lacks tokens waits
    // for no call of it.
    CHECK(one.traffic.free() > 0);
    const std::int64_t granted_before = two.traffic.granted;
    const std::int64_t released_before = one.traffic.released;
    two.traffic.lacking = one.traffic.free() / 4;
    two.control.review_tokens();
    LONGS_EQUAL(granted_before + two.traffic.lacking, two.traffic.granted);
    LONGS_EQUAL(two.traffic.lacking, one.traffic.released - released_before);
}

TEST(lending_group, a_lost_loan_is_spent_by_nobody)
{
    LONGS_EQUAL(lent, lost_by_lending("two", 0));
}

TEST(lending_group, a_doubled_loan_is_spent_once)
{
    LONGS_EQUAL(0, lost_by_lending("two", 2));
}

TEST(lending_group, a_doubled_request_strands_but_never_doubles)
{
    LONGS_EQUAL(lent, lost_by_lending("one", 2));
}

TEST(lending_group, a_lender_keeps_half)
{
    two.traffic.lacking = 100'000;
    const std::int64_t spare = one.traffic.free();
    const std::int64_t released_before = one.traffic.released;
    two.control.review_tokens();
    LONGS_EQUAL(spare / 2, one.traffic.released - released_before);
}
