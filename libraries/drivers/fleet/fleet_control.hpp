#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/placement/evacuations.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/blocked_part_store.hpp"
#include "libraries/drivers/fleet/document_formats.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/drivers/fleet/member_registry.hpp"
#include "libraries/drivers/fleet/observed_store.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/drivers/fleet/prefix_follower.hpp"
#include "libraries/drivers/fleet/rollout_control.hpp"
#include "libraries/drivers/fleet/token_control.hpp"
#include "libraries/drivers/fleet/traffic_link.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::drivers
{

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
                  const document_formats& formats, fleet_member self,
                  const domain::rollout_settings& rollouts = {});
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

    /// Sends a digest to the peers without waiting for the next interval,
    /// unless the last one was sent just before.
    void report_early();

    /// Sends the digest to the peers at once, since a brittle upstream has
    /// turned a request away.
    void report_rejection();

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
    void request_traffic_digest();
    /// Returns the time between two digests.
    [[nodiscard]] std::chrono::milliseconds report_interval() const;
    void on_traffic_digest(const traffic_digest& traffic);
    void on_datagram(std::string_view bytes);
    void on_operator_items(const followed_items& items);
    /// Follows the orders to move services to other versions.
    void on_rollout_orders(const followed_items& items);
    /// Follows the orders to evacuate data centres.
    void on_evacuation_orders(const followed_items& items);
    /// Puts changes of the evacuations in force.
    void
    apply_evacuations(const std::vector<domain::evacuation_change>& changes);
    void on_upstreams(const followed_items& items);
    /// Logs once for each change of a record that a field of it is ignored.
    void log_ignored_field(const ports::key_value& item,
                           const domain::upstream_entry& entry);
    /// Passes the upstreams on; those that are evacuated accept no requests.
    void publish_upstreams();
    void on_members(const std::vector<fleet_member>& members);
    /// Puts a configuration in force if its version is newer than that in
    /// force. `source` is for the log.
    void apply_configuration(const std::string& text, const char* source);
    /// Requests the configuration from a peer that reports a newer version,
    /// while the store is unavailable or goes on having an older one: it may
    /// have been restored from a copy.
    void request_configuration_from_peer();
    /// Returns a peer with a newer configuration that the store is not about to
    /// deliver; nothing if there is none.
    [[nodiscard]] std::optional<std::string> find_configuration_source();
    /// Returns since when the store has been unavailable; nothing while it
    /// responds.
    [[nodiscard]] std::optional<ports::steady_time>
    store_unavailable_since() const;
    /// Returns the routers with a recent report that are not leaving.
    [[nodiscard]] domain::router_ranking ranking() const;
    /// Returns whether this router is overloaded and the others can take its
    /// callers.
    [[nodiscard]] bool is_relieved_by_others() const;
    /// Passes the state of the fleet to the traffic thread.
    void update_traffic();

    fleet_control_dependencies m_dependencies;
    document_formats m_formats;
    fleet_member m_self;
    observed_store m_store;
    prefix_follower m_configuration;
    prefix_follower m_upstreams;
    member_registry m_registry;
    peer_table m_peers;
    token_control m_tokens;
    rollout_control m_rollouts;
    blocked_part_store m_blocked_parts;
    std::shared_ptr<const domain::route_table> m_routes;
    std::string m_configuration_text;
    domain::evacuations m_evacuations;
    /// As they were last read.
    std::vector<domain::upstream_entry> m_upstream_entries;
    bool m_has_members = false;
    /// The revisions of records of which an ignored field was logged.
    std::map<std::string, ports::revision> m_logged_revisions;
    std::unique_ptr<ports::timer> m_timer;
    std::int64_t m_sequence = 0;
    ports::steady_time m_last_report_at{};
    bool m_is_requesting_configuration = false;
    /// Since when peers have reported a newer configuration.
    std::optional<ports::steady_time> m_outdated_since;
    bool m_is_leaving = false;
    /// As of the last traffic digest.
    bool m_is_overloaded = false;
};

} // namespace turmeric::drivers
