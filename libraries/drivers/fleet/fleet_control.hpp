#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/prepaid/account_holders.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/document_formats.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/drivers/fleet/member_registry.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/drivers/fleet/prefix_follower.hpp"
#include "libraries/drivers/fleet/token_borrower.hpp"
#include "libraries/drivers/fleet/token_grant_client.hpp"
#include "libraries/drivers/fleet/token_lender.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The control thread's interface to the traffic thread. Thread safe; calls
/// take effect asynchronously.
class traffic_link
{
public:
    traffic_link() = default;
    traffic_link(const traffic_link&) = delete;
    traffic_link& operator=(const traffic_link&) = delete;
    virtual ~traffic_link() = default;

    /// Puts the routes and client accounts of a configuration in force.
    virtual void
    set_routes(std::shared_ptr<const domain::route_table> routes) = 0;

    /// Sets the registered upstreams.
    virtual void set_upstreams(std::vector<domain::upstream_entry> entries) = 0;

    /// Sets the latest state of the store's grants and of the other routers.
    virtual void set_fleet(fleet_view view) = 0;

    /// Calls `done` on the control thread with a digest of the traffic thread's
    /// state.
    virtual void request_digest(std::function<void(traffic_digest)> done) = 0;

    /// Releases up to `requested` tokens that no request holds, for a peer or
    /// for the store. Calls `done` on the control thread with the number
    /// released.
    virtual void release(const std::string& account, std::int64_t requested,
                         std::function<void(std::int64_t)> done) = 0;

    /// Lends up to `requested` free tokens to a peer that holds none of the
    /// account. Calls `done` on the control thread with the number lent.
    virtual void lend(const std::string& account, std::int64_t requested,
                      std::function<void(std::int64_t)> done) = 0;

    /// Refuses the requests that wait for tokens of an account.
    virtual void refuse_pending_holds(const std::string& account) = 0;
};

/// The objects and functions that `fleet_control` uses. All of them outlive
/// it.
struct fleet_control_dependencies
{
    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    ports::datagram_link& peers;
    traffic_link& traffic;
    turmeric::logger& log;
    /// Requests the configuration document of the peer at `address`; `done`
    /// gets an empty text if there is none.
    std::function<void(const std::string& address,
                       std::function<void(std::string)> done)>
        request_peer_configuration;
};

/// The control plane of one router. It follows the store, exchanges digests
/// with the peers, obtains prepaid tokens, and passes the resulting state to
/// the traffic thread. Used on the control thread only.
class fleet_control
{
public:
    /// Precondition: all of `dependencies` outlive this object.
    fleet_control(fleet_control_dependencies dependencies,
                  const document_formats& formats, fleet_member self);
    ~fleet_control();
    fleet_control(const fleet_control&) = delete;
    fleet_control& operator=(const fleet_control&) = delete;

    /// Starts to follow the store and to exchange digests. Called once.
    void start();

    /// Announces to the peers that this router is leaving; it is not ready any
    /// more. Called once.
    void leave();

    /// Returns unused tokens to the store and then ends this router's
    /// registration. `done` is called once, after the store has confirmed the
    /// return of all of them, so not while the store is unavailable.
    /// Precondition: the traffic thread serves no more requests.
    void return_tokens(std::function<void()> done);

    /// Adjusts the token grants to the present need without waiting for the
    /// next interval, for example because a request lacks tokens.
    void adjust_token_grants();

    /// Returns whether callers' requests can be served.
    [[nodiscard]] bool is_ready() const;

    /// Returns the addresses of the routers that callers in a data centre may
    /// connect to.
    [[nodiscard]] std::vector<std::string>
    list_entries(const std::string& data_centre) const;

    /// Returns the configuration document in force; empty if there is none.
    [[nodiscard]] const std::string& configuration_text() const;

private:
    /// Requests a traffic digest now and then at regular intervals.
    void tick();
    void on_traffic_digest(const traffic_digest& traffic);
    void on_datagram(std::string_view bytes);
    void on_configuration(const followed_items& items);
    void on_upstreams(const followed_items& items);
    void on_members(const std::vector<fleet_member>& members);
    /// Puts a configuration in force if its version is newer than that in
    /// force. `source` is for the log.
    void apply_configuration(const std::string& text, const char* source);
    /// Requests the configuration from a peer that reports a newer version,
    /// while the store is unavailable.
    void request_configuration_from_peer();
    /// Returns since when the store has been unavailable; nothing while it
    /// responds.
    [[nodiscard]] std::optional<ports::steady_time>
    store_unavailable_since() const;
    /// Passes the state of the fleet to the traffic thread.
    void update_traffic();
    /// Releases tokens on the traffic thread and queues them for return to
    /// the store.
    void release_to_store(const std::string& account, std::int64_t tokens,
                          std::function<void()> then);
    /// Requests the tokens that accounts need from the store and from peers,
    /// and queues surplus tokens for return.
    void adjust_grants(const traffic_digest& traffic);
    /// Returns what accounts need, including grants that are not in the
    /// traffic digest yet and the state of the peers.
    [[nodiscard]] std::map<std::string, account_token_demand>
    current_token_demands(const traffic_digest& traffic);
    /// Adds the part of an account's demand that the control thread knows.
    void complete_demand(const std::string& account, const fleet_view& view,
                         account_token_demand& demand);
    /// Selects the routers that can hold tokens by the latest reports.
    void update_holders();
    /// Returns the peers from which tokens of an account can be borrowed, the
    /// preferred one first.
    [[nodiscard]] std::vector<std::string>
    list_lenders(const std::string& account);
    /// Requests from peers what the accounts lack.
    void borrow_lacking(
        const std::map<std::string, account_token_demand>& token_demands);
    void on_token_message(const codecs::token_message& message);
    void lend(const codecs::token_message& request);
    /// Returns whether the registered routers are known well enough to select
    /// the holders of accounts.
    [[nodiscard]] bool is_membership_settled() const;
    /// Returns the tokens granted and borrowed, by account.
    [[nodiscard]] std::map<std::string, grant_summary>
    current_grant_summaries() const;

    fleet_control_dependencies m_dependencies;
    document_formats m_formats;
    fleet_member m_self;
    prefix_follower m_configuration;
    prefix_follower m_upstreams;
    member_registry m_registry;
    token_grant_client m_grant_client;
    peer_table m_peers;
    domain::account_holders m_holders;
    token_borrower m_borrower;
    token_lender m_lender;
    /// Adjusts the grants when a request for a loan has timed out.
    std::unique_ptr<ports::timer> m_loan_timer;
    std::optional<ports::steady_time> m_members_read_at;
    std::shared_ptr<const domain::route_table> m_routes;
    std::string m_configuration_text;
    std::unique_ptr<ports::timer> m_timer;
    std::int64_t m_sequence = 0;
    /// Tokens of each account that new requests could hold at the last
    /// adjustment of grants.
    std::map<std::string, std::int64_t> m_free_tokens;
    bool m_is_requesting_configuration = false;
    bool m_is_leaving = false;
};

} // namespace turmeric::drivers
