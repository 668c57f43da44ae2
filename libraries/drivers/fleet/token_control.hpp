#pragma once

#include "libraries/codecs/fleet/digest_codec.hpp"
#include "libraries/codecs/fleet/token_message.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/prepaid/account_holders.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/drivers/fleet/spending_exchange.hpp"
#include "libraries/drivers/fleet/token_borrower.hpp"
#include "libraries/drivers/fleet/token_grant_client.hpp"
#include "libraries/drivers/fleet/token_lender.hpp"
#include "libraries/drivers/fleet/total_exchange.hpp"
#include "libraries/drivers/fleet/traffic_link.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The objects that `token_control` uses. All of them outlive it.
struct token_control_dependencies
{
    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    ports::datagram_link& peers;
    traffic_link& traffic;
    turmeric::logger& log;
};

/// Obtains the prepaid tokens that one router spends. For the accounts that it
/// holds it requests grants from the store and lends from them; for the others
/// it borrows from their holders. Used on the control thread only.
class token_control
{
public:
    /// Precondition: all of `dependencies` and `peers` outlive this object.
    token_control(const token_control_dependencies& dependencies,
                  const peer_table& peers, const fleet_member& self,
                  std::function<bool()> is_store_unavailable);
    ~token_control();
    token_control(const token_control&) = delete;
    token_control& operator=(const token_control&) = delete;

    /// Calls `changed` from now on whenever this router's tokens may have
    /// changed. Called once, before the other functions.
    void start(std::function<void()> changed);

    /// Sets the registered router incarnations, including this one.
    void set_members(std::set<std::string> incarnations);

    /// Sets the accounts of the configuration in force, and adjusts the grants.
    void set_accounts(const std::vector<domain::caller_account>& accounts);

    /// Plans grants for a router that is leaving from now on.
    void set_leaving();

    /// Selects the routers that can hold tokens by the latest reports.
    void update_holders();

    /// Requests the tokens that accounts need from the store and from peers,
    /// and queues surplus tokens for return.
    void adjust(const traffic_digest& traffic);

    /// Does the same with the present state of the traffic thread.
    void adjust();

    /// Handles a peer's request for a loan, or its loan.
    void handle_message(const codecs::token_message& message);

    /// Handles a peer's message about granted totals.
    void handle_totals(const codecs::granted_totals_message& message);

    /// Handles a peer's message about the spending of tokens.
    void handle_spending(const codecs::spending_message& message);

    /// Returns unused tokens to the store. `done` is called once, after the
    /// store has confirmed the return of all of them.
    void return_tokens(std::function<void()> done);

    /// See `token_grant_client::unavailable_since`.
    [[nodiscard]] std::optional<ports::steady_time> unavailable_since() const;

    /// Returns what the digest for the peers says of this router's tokens.
    [[nodiscard]] std::map<std::string, codecs::peer_account_tokens>
    report(const traffic_digest& traffic);

    /// Adds this router's tokens to the accounts of a view.
    void add_accounts(fleet_view& view);

private:
    /// Returns what is consumed of the tokens of an account that this router
    /// holds; 0 if it does not hold the account.
    [[nodiscard]] double
    tokens_per_second(const std::map<std::string, grant_summary>& summaries,
                      const std::string& account);
    /// Releases tokens on the traffic thread and queues them for return to
    /// the store.
    void release_to_store(const std::string& account, std::int64_t tokens,
                          std::function<void()> then);
    /// Returns what accounts need, including grants that are not in the
    /// traffic digest yet and the state of the peers.
    [[nodiscard]] std::map<std::string, account_token_demand>
    current_token_demands(const traffic_digest& traffic);
    /// Adds the part of an account's demand that the control thread knows.
    void complete_demand(const std::string& account, const fleet_view& view,
                         account_token_demand& demand);
    /// Returns the peers from which tokens of an account can be borrowed, the
    /// preferred one first.
    [[nodiscard]] std::vector<std::string>
    list_lenders(const std::string& account);
    /// Requests from peers what the accounts lack.
    void borrow_lacking(
        const std::map<std::string, account_token_demand>& token_demands);
    void lend(const codecs::token_message& request);
    /// Announces to the witnesses what the accounts are about to spend, and
    /// asks the witnesses of earlier incarnations on this VM.
    void update_spending(
        const std::map<std::string, account_token_demand>& token_demands);
    /// Puts the spending limits in force that witnesses have confirmed.
    void raise_limits();
    /// Returns whether the registered routers are known well enough to select
    /// the holders of accounts.
    [[nodiscard]] bool is_membership_settled() const;
    /// Returns the tokens granted and borrowed, by account.
    [[nodiscard]] std::map<std::string, grant_summary>
    current_grant_summaries() const;

    token_control_dependencies m_dependencies;
    const peer_table& m_peers;
    std::string m_self;
    std::function<bool()> m_is_store_unavailable;
    std::function<void()> m_changed;
    token_grant_client m_grant_client;
    total_exchange m_exchange;
    spending_exchange m_spending;
    /// As last passed to the traffic thread.
    std::map<std::string, std::int64_t> m_spending_limits;
    domain::account_holders m_holders;
    token_borrower m_borrower;
    token_lender m_lender;
    /// The accounts with a prepaid total.
    std::set<std::string> m_accounts;
    /// Adjusts the grants when a request for a loan has timed out.
    std::unique_ptr<ports::timer> m_loan_timer;
    std::optional<ports::steady_time> m_members_read_at;
    /// Tokens of each account that new requests could hold at the last
    /// adjustment of grants.
    std::map<std::string, std::int64_t> m_free_tokens;
    bool m_is_leaving = false;
};

} // namespace turmeric::drivers
