#include <rapidcheck.h>

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"
#include "libraries/domain/membership/incarnation.hpp"
#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/drivers/fleet/spending_exchange.hpp"
#include "libraries/drivers/fleet/token_grant_client.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <memory>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t prepaid_total = 200'000;
constexpr std::size_t vm_count = 5;
const std::string account = "acme";

/// Keeps datagrams until the test delivers or drops them.
class queued_network
{
public:
    struct datagram
    {
        std::string address;
        std::string bytes;
    };

    std::vector<datagram> pending;
};

class queued_link final : public ports::datagram_link
{
public:
    explicit queued_link(queued_network& network)
        : m_network(network)
    {
    }

    void send(const std::string& address, const std::string& bytes) override
    {
        m_network.pending.push_back({address, bytes});
    }

    void receive(std::function<void(std::string_view)>) override {}

private:
    queued_network& m_network;
};

/// What the routers of a test share.
struct environment
{
    fakes::manual_clock clock;
    fakes::counting_logger log;
    fake_asynchronous_store store;
    queued_network network;
    std::vector<drivers::fleet_member> members;
};

drivers::fleet_member member_of(const std::string& vm, std::uint64_t start)
{
    const std::string incarnation = domain::make_incarnation(vm, start);
    return {incarnation, vm, "east", incarnation, incarnation};
}

/// One incarnation of a router, with the ledger that spends its grants.
struct router
{
    router(environment& shared, const drivers::fleet_member& the_self)
        : self(the_self)
        , world(shared)
        , peers(the_self)
        , link(shared.network)
        , client(shared.store, shared.clock, shared.log, self.incarnation,
                 self.vm)
        , exchange(
              client.limits(), link, peers, shared.clock, self,
              [this] { apply_grants(); },
              [this](const std::string& witness,
                     const codecs::spending_row& row) {
                  client.add_report(witness, row.incarnation, row.account,
                                    row.report);
              })
    {
        client.set_prepaid_totals({{account, prepaid_total}});
        client.on_change([this] { apply_grants(); });
        update_members();
    }

    void update_members()
    {
        std::set<std::string> names;
        peers.set_members(world.members, world.clock.steady_now());
        for (const drivers::fleet_member& member : world.members)
        {
            names.insert(member.incarnation);
            codecs::peer_digest digest;
            digest.incarnation = member.incarnation;
            digest.sequence = ++sequence;
            peers.apply_digest(digest, world.clock.steady_now());
        }
        client.set_members(names);
    }

    void apply_grants()
    {
        for (const auto& [name, summary] : client.grant_summaries())
        {
            const std::int64_t total = summary.cumulative_granted;
            ledger.set_granted(name, total - released);
            ledger.set_spending_limit(name,
                                      client.limits().update(name, total));
        }
    }

    void tick(std::int64_t waiting, std::int64_t reserve)
    {
        const domain::prepaid_balance balance = ledger.balance(account);
        domain::spending_need need;
        need.spent = balance.spent() + balance.passed_on;
        need.waiting = waiting;
        need.reserve = reserve;
        exchange.announce({{account, need}});
        exchange.inquire(client.list_inquiries());
        drivers::account_token_demand demand;
        demand.used = balance.used;
        demand.held = balance.held;
        demand.free = balance.free();
        demand.lacking = std::max<std::int64_t>(0, waiting - balance.free());
        for (const auto& [name, tokens] :
             client.adjust_grants({{account, demand}}, false))
        {
            release(tokens);
        }
    }

    void release(std::int64_t tokens)
    {
        const domain::prepaid_balance balance = ledger.balance(account);
        const std::int64_t newly_released = std::clamp<std::int64_t>(
            tokens, 0, std::max<std::int64_t>(0, balance.free()));
        released += newly_released;
        ledger.set_granted(account, balance.granted - newly_released);
        client.add_pending_return(account, newly_released);
    }

    void spend(std::int64_t tokens)
    {
        if (ledger.hold(account, tokens))
        {
            ledger.settle(account, tokens, tokens);
        }
    }

    drivers::fleet_member self;
    environment& world;
    drivers::peer_table peers;
    queued_link link;
    drivers::token_grant_client client;
    drivers::spending_exchange exchange;
    domain::prepaid_ledger ledger;
    std::int64_t released = 0;
    std::int64_t sequence = 0;
};

/// A fleet whose routers, datagrams and store calls take turns in an order that
/// is drawn at random.
class random_fleet
{
public:
    random_fleet()
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            m_world.members.push_back(member_of(name_of(vm), ++m_starts));
        }
        for (const drivers::fleet_member& member : m_world.members)
        {
            m_routers.push_back(std::make_unique<router>(m_world, member));
        }
    }

    void step()
    {
        m_world.clock.advance(
            std::chrono::milliseconds(*rc::gen::inRange(1, 400)));
        using action = void (random_fleet::*)();
        (this->**rc::gen::weightedElement<action>(
                    {{8, &random_fleet::tick},
                     {8, &random_fleet::spend},
                     {12, &random_fleet::deliver},
                     {2, &random_fleet::drop},
                     {2, &random_fleet::repeat},
                     {8, &random_fleet::serve},
                     {2, &random_fleet::apply_late},
                     {1, &random_fleet::restart}}))();
    }

    /// Returns what has been spent, or can be spent by those that run.
    std::int64_t usable() const
    {
        std::int64_t sum = m_spent_by_ended;
        for (const std::unique_ptr<router>& one : m_routers)
        {
            const domain::prepaid_balance balance =
                one->ledger.balance(account);
            sum += std::max(balance.spent(), balance.granted);
        }
        return sum;
    }

    std::int64_t granted_in_all() const
    {
        const std::string text =
            m_world.store.value("turmericfront/tokens/" + account);
        return text.empty()
                   ? 0
                   : codecs::read_prepaid_record(text).value().granted_in_all;
    }

private:
    static std::string name_of(std::size_t vm)
    {
        return "vm-" + std::to_string(vm);
    }

    router& pick()
    {
        return *m_routers[*rc::gen::inRange<std::size_t>(0, vm_count)];
    }

    void tick()
    {
        router& one = pick();
        one.update_members();
        one.tick(*rc::gen::inRange<std::int64_t>(0, 12'000),
                 *rc::gen::inRange<std::int64_t>(0, 6'000));
    }

    void spend()
    {
        pick().spend(*rc::gen::inRange<std::int64_t>(1, 9'000));
    }

    std::size_t pick_datagram()
    {
        return *rc::gen::inRange<std::size_t>(0,
                                              m_world.network.pending.size());
    }

    void deliver()
    {
        // Most arrive.
        for (int count = 0; count < 4; ++count)
        {
            if (m_world.network.pending.empty())
            {
                return;
            }
            const std::size_t index = pick_datagram();
            const queued_network::datagram chosen =
                m_world.network.pending[index];
            drop_at(index);
            deliver(chosen);
        }
    }

    void deliver(const queued_network::datagram& chosen)
    {
        for (const std::unique_ptr<router>& one : m_routers)
        {
            if (one->self.incarnation == chosen.address)
            {
                one->exchange.handle(
                    codecs::read_spending_message(chosen.bytes).value());
            }
        }
    }

    void drop_at(std::size_t index)
    {
        std::vector<queued_network::datagram>& pending =
            m_world.network.pending;
        pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void drop()
    {
        if (!m_world.network.pending.empty())
        {
            drop_at(pick_datagram());
        }
    }

    void repeat()
    {
        if (!m_world.network.pending.empty())
        {
            m_world.network.pending.push_back(
                m_world.network.pending[pick_datagram()]);
        }
    }

    void serve()
    {
        m_world.store.serve_next(*rc::gen::weightedElement<simulated_outcome>(
            {{8, simulated_outcome::served},
             {1, simulated_outcome::failed},
             {1, simulated_outcome::response_lost},
             {1, simulated_outcome::applied_late}}));
    }

    void apply_late()
    {
        m_world.store.apply_late_changes();
    }

    void restart()
    {
        const std::size_t vm = *rc::gen::inRange<std::size_t>(0, vm_count);
        m_spent_by_ended += m_routers[vm]->ledger.balance(account).spent();
        m_world.members[vm] = member_of(name_of(vm), ++m_starts);
        m_routers[vm] = std::make_unique<router>(m_world, m_world.members[vm]);
    }

    environment m_world;
    std::vector<std::unique_ptr<router>> m_routers;
    std::int64_t m_spent_by_ended = 0;
    std::uint64_t m_starts = 0;
};

} // namespace

// Guards against accounts overspent since a grant of a router that was killed
// was closed with less than it had spent.
TEST_GROUP(budget_with_closed_grants_group){};

TEST(budget_with_closed_grants_group, no_order_of_events_overspends)
{
    CHECK(rc::check("what can be spent counts as granted",
                    []
                    {
                        random_fleet fleet;
                        for (int step = 0; step < 300; ++step)
                        {
                            fleet.step();
                            RC_ASSERT(fleet.usable() <= prepaid_total);
                            RC_ASSERT(fleet.usable() <= fleet.granted_in_all());
                        }
                    }));
}
