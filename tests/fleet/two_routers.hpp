#pragma once

#include "libraries/drivers/fleet/fleet_control.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"
#include "tests/fleet/manual_timer_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace turmeric::tests
{

/// Delivers datagrams between the routers of a test synchronously.
struct datagram_network
{
    /// How many times each datagram to an address is delivered; 1 if it has
    /// no entry.
    std::map<std::string, int> copies;
    std::map<std::string, std::function<void(std::string_view)>> receivers;
};

/// One router's link to the network.
class network_link final : public ports::datagram_link
{
public:
    network_link(datagram_network& network, std::string address)
        : m_network(network)
        , m_address(std::move(address))
    {
    }

    void send(const std::string& address, const std::string& bytes) override
    {
        const auto receiver = m_network.receivers.find(address);
        if (receiver == m_network.receivers.end())
        {
            return;
        }
        const auto copies = m_network.copies.find(address);
        const int count = copies == m_network.copies.end() ? 1 : copies->second;
        for (int copy = 0; copy < count; ++copy)
        {
            receiver->second(bytes);
        }
    }

    void receive(std::function<void(std::string_view)> received) override
    {
        m_network.receivers[m_address] = std::move(received);
    }

private:
    datagram_network& m_network;
    std::string m_address;
};

/// A traffic thread that lacks as many tokens as the test sets and spends none.
class fake_traffic final : public drivers::traffic_link
{
public:
    void set_routes(std::shared_ptr<const domain::route_table>) override {}

    void set_upstreams(std::vector<domain::upstream_entry>) override {}

    void merge_observations(domain::upstream_observations) override {}

    void set_fleet(drivers::fleet_view view) override
    {
        granted = view.accounts["acme"].own_granted;
    }

    void
    request_digest(std::function<void(drivers::traffic_digest)> done) override
    {
        drivers::traffic_digest digest;
        drivers::account_token_demand& token_demand = digest.accounts["acme"];
        token_demand.granted = granted;
        token_demand.free = free();
        token_demand.lacking = lacking;
        digest.is_overloaded = is_overloaded;
        done(digest);
    }

    void pass_on(const std::string& account, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override
    {
        release(account, requested, std::move(done));
    }

    void lend(const std::string& account, std::int64_t requested,
              std::function<void(std::int64_t)> done) override
    {
        release(account, requested, std::move(done));
    }

    void refuse_pending_holds(const std::string&) override {}

    void release(const std::string&, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override
    {
        const std::int64_t newly_released =
            std::clamp<std::int64_t>(requested, 0, free());
        released += newly_released;
        done(newly_released);
    }

    std::int64_t free() const
    {
        return granted - released;
    }

    std::int64_t granted = 0;
    std::int64_t released = 0;
    std::int64_t lacking = 0;
    bool is_overloaded = false;
};

inline result<domain::route_declarations>
read_acme_declarations(std::string_view)
{
    domain::route_declarations made;
    made.version = 1;
    made.accounts.push_back({"acme", {"key"}, std::nullopt, 100'000});
    return made;
}

inline result<domain::upstream_entry> reject_upstream(std::string_view,
                                                      std::string_view)
{
    return error{result_code::bad_argument, "", ""};
}

/// What the routers of a test share.
struct test_environment
{
    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    fakes::counting_logger log;
    fake_asynchronous_store store;
    datagram_network network;
};

/// One router with a fake traffic thread.
struct router
{
    router(test_environment& shared, const std::string& name)
        : link(shared.network, name)
        , control({shared.store, shared.timers, shared.clock, link, traffic,
                   shared.log, [](const auto&, const auto& done) { done(""); }},
                  {"configuration", "upstreams/", &read_acme_declarations,
                   &reject_upstream},
                  {name, name, "east", name, name})
    {
    }

    fake_traffic traffic;
    network_link link;
    drivers::fleet_control control;
};

/// Two routers that have started and know each other.
struct two_routers
{
    two_routers()
    {
        ports::store_change change;
        change.writes.push_back({"configuration", "any", 0});
        shared.store.commit(change, [](const auto&) {});
        one.control.start();
        two.control.start();
        for (int round = 0; round < 20; ++round)
        {
            advance(std::chrono::milliseconds(200));
        }
    }

    /// Completes all store calls and watches, and then advances the clock.
    void advance(std::chrono::milliseconds time)
    {
        shared.store.serve_all();
        shared.store.respond_to_watches();
        shared.timers.advance(time);
    }

    test_environment shared;
    router one{shared, "one"};
    router two{shared, "two"};
};

} // namespace turmeric::tests
