#pragma once

#include "libraries/fakes/seeded_random.hpp"
#include "libraries/ports/datagram_link.hpp"
#include "tests/simulation/event_queue.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace turmeric::tests
{

/// Delivers datagrams between the routers of a simulation with a delay.
class delayed_network
{
public:
    delayed_network(event_queue& events, fakes::seeded_random& random)
        : m_events(events)
        , m_random(random)
    {
    }

    void send(const std::string& sender, const std::string& address,
              const std::string& bytes)
    {
        ++sent;
        const auto receiver = m_receivers.find(address);
        if (receiver == m_receivers.end() || m_disconnected.count(sender) > 0 ||
            m_disconnected.count(address) > 0 || is_drawn(lost_percent))
        {
            return;
        }
        const int copies = is_drawn(doubled_percent) ? 2 : 1;
        for (int copy = 1; copy <= copies; ++copy)
        {
            // A second copy arrives late, behind other datagrams.
            m_events.run_after(copy * copy * one_way,
                               [receiver, bytes] { receiver->second(bytes); });
        }
    }

    /// Loses all further datagrams from and to an address.
    void disconnect(const std::string& address)
    {
        m_disconnected.insert(address);
    }

    void receive(const std::string& address,
                 std::function<void(std::string_view)> received)
    {
        m_receivers[address] = std::move(received);
    }

    /// Of 100 datagrams, how many are lost and how many delivered twice.
    std::uint64_t lost_percent = 0;
    std::uint64_t doubled_percent = 0;
    /// The number of datagrams sent so far.
    std::int64_t sent = 0;

private:
    static constexpr std::chrono::microseconds one_way{1'500};

    bool is_drawn(std::uint64_t percent)
    {
        return percent > 0 && m_random.next() % 100 < percent;
    }

    event_queue& m_events;
    fakes::seeded_random& m_random;
    std::map<std::string, std::function<void(std::string_view)>> m_receivers;
    std::set<std::string> m_disconnected;
};

/// One router's link to the network.
class delayed_link final : public ports::datagram_link
{
public:
    delayed_link(delayed_network& network, std::string address)
        : m_network(network)
        , m_address(std::move(address))
    {
    }

    void send(const std::string& address, const std::string& bytes) override
    {
        m_network.send(m_address, address, bytes);
    }

    void receive(std::function<void(std::string_view)> received) override
    {
        m_network.receive(m_address, std::move(received));
    }

private:
    delayed_network& m_network;
    std::string m_address;
};

} // namespace turmeric::tests
