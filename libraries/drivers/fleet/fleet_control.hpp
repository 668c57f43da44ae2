#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/document_forms.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/drivers/fleet/member_registry.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/drivers/fleet/prefix_follower.hpp"
#include "libraries/drivers/fleet/token_exchange.hpp"
#include "libraries/drivers/fleet/token_keeper.hpp"
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

/// The traffic thread as the control thread sees it. Thread safe; what is
/// told takes effect a little later.
class traffic_link
{
public:
    traffic_link() = default;
    traffic_link(const traffic_link&) = delete;
    traffic_link& operator=(const traffic_link&) = delete;
    virtual ~traffic_link() = default;

    /// Puts declarations in force.
    virtual void
    set_routes(std::shared_ptr<const domain::route_table> routes) = 0;

    /// Sets which upstreams there are.
    virtual void set_upstreams(std::vector<domain::upstream_entry> entries) = 0;

    /// Sets what is known of the other routers.
    virtual void set_fleet(fleet_view view) = 0;

    /// Calls `done` on the control thread with what traffic has to tell.
    virtual void ask(std::function<void(traffic_digest)> done) = 0;

    /// Takes tokens that nobody holds, up to `wanted`, for a peer; calls
    /// `done` on the control thread with how many.
    virtual void release(const std::string& account, std::int64_t wanted,
                         std::function<void(std::int64_t)> done) = 0;
};

/// What the control thread works with. All outlive it.
struct control_parts
{
    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    ports::datagram_link& peers;
    traffic_link& traffic;
    turmeric::logger& log;
    /// Asks a peer for its configuration document; the callback gets an
    /// empty text when there is none.
    std::function<void(const std::string& address,
                       std::function<void(std::string)> done)>
        ask_peer;
};

/// One router's control state: follows the store, tells its peers what it
/// does and hears of them, gets prepaid tokens, and keeps the traffic thread
/// informed. Used on the control thread only.
class fleet_control
{
public:
    /// Precondition: all of `parts` outlive the control.
    fleet_control(control_parts parts, const document_forms& forms,
                  fleet_member self);
    ~fleet_control();
    fleet_control(const fleet_control&) = delete;
    fleet_control& operator=(const fleet_control&) = delete;

    /// Starts. Called once.
    void start();

    /// Tells the fleet that this router leaves. Called once.
    void leave();

    /// Gives back unused tokens; `done` is called once. Precondition: the
    /// traffic thread answers no more requests.
    void give_back(std::function<void()> done);

    /// Looks at the prepaid tokens now, as a request lacks some.
    void review_tokens();

    /// Tells whether callers' requests can be served.
    [[nodiscard]] bool is_ready() const;

    /// Returns the addresses that callers may use.
    [[nodiscard]] std::vector<std::string>
    list_entries(const std::string& data_centre) const;

    /// Returns the configuration document in force; empty when none is.
    [[nodiscard]] const std::string& configuration_text() const;

private:
    void tick();
    void on_digest(const traffic_digest& seen);
    void on_datagram(std::string_view bytes);
    void on_configuration(const followed_items& items);
    void on_upstreams(const followed_items& items);
    void on_members(const std::vector<fleet_member>& members);
    /// Puts a configuration in force if it is newer than the present one.
    void take_configuration(const std::string& text, const char* source);
    void ask_peers_for_configuration();
    [[nodiscard]] std::optional<ports::steady_time>
    store_unavailable_since() const;
    void tell_traffic();
    /// Takes tokens from the traffic thread, to give them back to the store.
    void put_back(const std::string& account, std::int64_t tokens,
                  std::function<void()> then);
    /// Asks the store, or peers, for the tokens that accounts need.
    void review(const traffic_digest& seen);
    /// Returns what accounts need, with what this thread knows by now.
    [[nodiscard]] std::map<std::string, account_token_demand>
    current_needs(const traffic_digest& seen) const;
    /// Returns what was granted and borrowed, by account.
    [[nodiscard]] std::map<std::string, known_grants> known_grants_now() const;

    control_parts m_parts;
    document_forms m_forms;
    fleet_member m_self;
    prefix_follower m_configuration;
    prefix_follower m_upstreams;
    member_registry m_registry;
    token_keeper m_tokens;
    peer_table m_peers;
    token_exchange m_loans;
    std::shared_ptr<const domain::route_table> m_routes;
    std::string m_configuration_text;
    std::unique_ptr<ports::timer> m_timer;
    std::int64_t m_sequence = 0;
    /// What this router could hold of each account when it last looked.
    std::map<std::string, std::int64_t> m_free;
    bool m_is_asking_peer = false;
    bool m_is_leaving = false;
};

} // namespace turmeric::drivers
