#pragma once

#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/drivers/fleet/fleet_control.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/seeded_random.hpp"
#include "tests/simulation/delayed_network.hpp"
#include "tests/simulation/delayed_store.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::tests
{

/// What the callers of a simulation saw.
struct served_requests
{
    std::int64_t served = 0;
    std::int64_t refused = 0;

    double served_fraction() const
    {
        return static_cast<double>(served) /
               static_cast<double>(std::max<std::int64_t>(1, served + refused));
    }
};

/// The traffic of one router: requests that hold tokens, wait for them for a
/// limited time, and consume them all.
class simulated_traffic final : public drivers::traffic_link
{
public:
    explicit simulated_traffic(event_queue& events)
        : m_events(events)
    {
    }

    void set_routes(std::shared_ptr<const domain::route_table>) override {}

    void set_upstreams(std::vector<domain::upstream_entry>) override {}

    void merge_observations(domain::upstream_observations) override {}

    void set_fleet(drivers::fleet_view view) override
    {
        for (const auto& [account, state] : view.accounts)
        {
            m_ledger.set_granted(account,
                                 state.own_granted - m_released[account]);
            m_ledger.set_spending_limit(account, state.spending_limit);
            retry(account);
        }
    }

    void
    request_digest(std::function<void(drivers::traffic_digest)> done) override
    {
        drivers::traffic_digest digest;
        for (const auto& [account, balance] : m_ledger.balances())
        {
            drivers::account_token_demand& demand = digest.accounts[account];
            demand.used = balance.used;
            demand.held = balance.held;
            demand.free = balance.free();
            demand.spent = balance.spent() + balance.passed_on;
            demand.waiting = waiting(account);
            demand.typical_hold = balance.typical_hold;
            demand.granted = balance.granted + m_released[account];
            demand.lacking =
                std::max<std::int64_t>(0, waiting(account) - balance.free());
        }
        m_events.run_after(std::chrono::nanoseconds(0),
                           [done = std::move(done), digest] { done(digest); });
    }

    void lend(const std::string& account, std::int64_t requested,
              std::function<void(std::int64_t)> done) override
    {
        done(m_ledger.lend(account, requested));
    }

    void pass_on(const std::string& account, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override
    {
        const std::int64_t passed = m_ledger.pass_on(account, requested);
        m_released[account] += passed;
        done(passed);
    }

    void refuse_pending_holds(const std::string&) override {}

    void release(const std::string& account, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override
    {
        const domain::prepaid_balance balance = m_ledger.balance(account);
        const std::int64_t released = std::clamp<std::int64_t>(
            requested, 0, std::max<std::int64_t>(0, balance.free()));
        m_released[account] += released;
        m_ledger.set_granted(account, balance.granted - released);
        done(released);
    }

    /// Starts a request. `adjust` makes the router adjust its grants.
    void start_request(const std::string& account, std::int64_t tokens,
                       const std::function<void()>& adjust)
    {
        if (try_hold(account, tokens))
        {
            return;
        }
        const auto request =
            std::make_shared<waiting_request>(waiting_request{account, tokens});
        m_waiting.push_back(request);
        adjust();
        m_events.run_after(max_token_wait,
                           [this, request]
                           {
                               if (std::erase(m_waiting, request) > 0)
                               {
                                   ++outcome.refused;
                               }
                           });
    }

    /// Returns the tokens that requests have consumed or hold, or that this
    /// router can still hold or lend.
    std::int64_t usable_tokens() const
    {
        std::int64_t sum = 0;
        for (const auto& [account, balance] : m_ledger.balances())
        {
            sum += balance.granted - balance.lent;
        }
        return sum;
    }

    /// Returns the tokens that requests hold.
    std::int64_t held_tokens() const
    {
        std::int64_t sum = 0;
        for (const auto& [account, balance] : m_ledger.balances())
        {
            sum += balance.held;
        }
        return sum;
    }

    /// Returns the tokens that requests have consumed or hold.
    std::int64_t spent_tokens() const
    {
        std::int64_t sum = 0;
        for (const auto& [account, balance] : m_ledger.balances())
        {
            sum += balance.used + balance.held;
        }
        return sum;
    }

    served_requests outcome;

private:
    static constexpr std::chrono::milliseconds max_token_wait{400};
    static constexpr std::chrono::milliseconds run_time{300};

    struct waiting_request
    {
        std::string account;
        std::int64_t tokens;
    };

    bool try_hold(const std::string& account, std::int64_t tokens)
    {
        if (!m_ledger.hold(account, tokens))
        {
            return false;
        }
        ++outcome.served;
        m_events.run_after(run_time, [this, account, tokens]
                           { m_ledger.settle(account, tokens, tokens); });
        return true;
    }

    void retry(const std::string& account)
    {
        std::erase_if(m_waiting,
                      [&](const auto& request) {
                          return request->account == account &&
                                 try_hold(account, request->tokens);
                      });
    }

    std::int64_t waiting(const std::string& account) const
    {
        std::int64_t sum = 0;
        for (const auto& request : m_waiting)
        {
            sum += request->account == account ? request->tokens : 0;
        }
        return sum;
    }

    event_queue& m_events;
    domain::prepaid_ledger m_ledger;
    std::map<std::string, std::int64_t> m_released;
    std::vector<std::shared_ptr<waiting_request>> m_waiting;
};

/// A fleet of routers over one store, and callers whose requests are spread
/// over the routers and accounts at random.
class simulated_fleet
{
public:
    /// Creates `routers` routers; call `start` next.
    explicit simulated_fleet(int routers);

    /// Starts all routers and lets them obtain their first grants.
    void start();

    /// Plays callers' requests for `duration`. Returns their outcomes.
    served_requests play(std::chrono::milliseconds duration);

    /// Cuts all routers from the store, but not from each other, or ends that.
    void set_cut(bool is_cut);

    /// Writes a configuration to the store, as the operator does.
    void set_configuration(int version);

    /// Starts one more router.
    void start_another_router();

    /// Returns the lowest version that a router has in force; 0 if one has
    /// none.
    int lowest_configuration() const;

    /// Makes the store keep a copy of its content.
    void take_copy();

    /// Takes the store away for `duration`, during which callers' requests
    /// go on, and restores it from the copy.
    void restore_store(std::chrono::milliseconds duration);

    /// Ends a router with all that it holds.
    void kill(std::size_t router);

    /// Ends routers with all that they hold. Each starts anew on its VM after
    /// `down`, while callers' requests go on at the others.
    void replace(const std::vector<std::size_t>& routers,
                 std::chrono::milliseconds down);

    /// Ends all routers with all that they hold, and starts new ones on their
    /// VMs.
    void replace_all_routers();

    /// Returns the numbers of the routers that were not killed.
    std::vector<std::size_t> list_running() const;

    /// Loses and doubles datagrams from now on.
    void damage_network(std::uint64_t lost_percent,
                        std::uint64_t doubled_percent);

    /// Returns the tokens that requests have consumed or hold, or that routers
    /// which were not killed can still hold or lend, of all accounts.
    std::int64_t usable_tokens() const;

    /// Returns the tokens that requests held at the routers that were killed.
    std::int64_t lost_in_flight() const;

    /// Returns the calls to the store so far: reads and changes.
    std::int64_t store_calls() const;

    /// Returns the tokens that the store's records count as granted.
    std::int64_t granted_in_all() const;

    /// The number of routers.
    std::int64_t size() const
    {
        return static_cast<std::int64_t>(m_routers.size());
    }

    static constexpr int account_count = 24;
    static constexpr std::int64_t requests_per_second = 600;
    static constexpr std::int64_t mean_request_tokens = 5'000;
    /// Covers what callers ask for in 40 s.
    static constexpr std::int64_t prepaid_tokens =
        40 * requests_per_second * mean_request_tokens / account_count;

private:
    struct router
    {
        router(simulated_fleet& fleet, const std::string& the_vm,
               const std::string& incarnation);

        delayed_store store;
        simulated_traffic traffic;
        delayed_link link;
        drivers::fleet_control control;
        std::string vm;
        std::string name;
        std::int64_t held_at_kill = 0;
        bool is_killed = false;
    };

    void add_router(const std::string& vm);
    /// Starts a router on `vm`, whose connection to the store may be cut.
    void start_router(const std::string& vm, bool is_cut);
    [[nodiscard]] std::string
    configuration_text(const std::string& address) const;
    void answer_watches();
    void start_requests();
    [[nodiscard]] std::int64_t granted_of(const std::string& account) const;
    /// Returns a router that was not killed.
    router& pick_router();

    fakes::manual_clock m_clock;
    event_queue m_events{m_clock};
    fakes::counting_logger m_log;
    fakes::seeded_random m_random{20261204};
    fake_asynchronous_store m_store;
    delayed_network m_network{m_events, m_random};
    std::vector<std::unique_ptr<router>> m_routers;
    bool m_is_playing = false;
};

} // namespace turmeric::tests
