#pragma once

#include "libraries/drivers/configuration/configuration_follower.hpp"
#include "libraries/drivers/membership/membership_service.hpp"
#include "libraries/drivers/responses/response_cache.hpp"
#include "libraries/drivers/traffic/traffic_control.hpp"

#include <atomic>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::router
{

/// What a coordinator uses; all of it outlives the coordinator and is thread
/// safe.
struct fleet_coordinator_dependencies
{
    drivers::membership_service& membership;
    drivers::configuration_follower& follower;
    drivers::traffic_control& traffic;
    drivers::response_cache& responses;
};

/// How a router is identified in the fleet, and where it finds its peers.
struct router_identity
{
    std::string incarnation;
    std::string vm;
    std::string data_centre;
    /// Peer addresses to use as long as no other member is known.
    std::vector<std::string> seed_peers;
};

/// Applies the state of the fleet to this router's traffic control (shares of
/// upstream slots, leaving upstreams and VMs) and publishes this router's state
/// to the fleet. Also selects peers and makes locate responses. Thread safe
/// except for `refresh`.
class fleet_coordinator
{
public:
    /// See `fleet_coordinator_dependencies`.
    fleet_coordinator(const fleet_coordinator_dependencies& dependencies,
                      router_identity self);

    /// Applies the current fleet state and publishes this router's state. Call
    /// it several times a second. Not thread safe.
    void refresh();

    /// Marks this router as leaving in the fleet. This cannot be undone. Thread
    /// safe.
    void start_leaving();

    /// Returns why this router cannot serve requests, or nothing if it can.
    /// Thread safe.
    [[nodiscard]] std::optional<error> find_readiness_error() const;

    /// Returns the body of a locate response for a client account, which may
    /// be empty. Thread safe.
    [[nodiscard]] std::string locate(const std::string& account);

    /// Returns the addresses of peers that can send the configuration. Thread
    /// safe.
    [[nodiscard]] std::vector<std::string> peer_addresses();

    /// Returns the addresses of peers that may keep copies of bills, those in
    /// other data centres first. Thread safe.
    [[nodiscard]] std::vector<std::string> bill_copy_peers() const;

    /// Returns true if an incarnation is up, or leaving, according to this
    /// router's view of the fleet. Thread safe.
    [[nodiscard]] bool is_alive(const std::string& incarnation) const;

    /// Returns the address of the peer that commits a budget shard, or an empty
    /// text if this router does. Thread safe.
    [[nodiscard]] std::string find_committer(std::int32_t shard) const;

private:
    void plan_capacity(const drivers::published_membership& fleet,
                       const domain::configuration& declared);
    void mark_leaving_upstreams(const drivers::published_membership& fleet,
                                const domain::configuration& declared);
    void leave_if_vm_is_leaving(const drivers::published_membership& fleet,
                                const domain::configuration& declared);

    fleet_coordinator_dependencies m_dependencies;
    const router_identity m_self;
    /// This router has had a share of some upstream's slots since its start.
    std::atomic<bool> m_has_had_share{false};
    /// It has such a share now.
    std::atomic<bool> m_has_share{false};
    std::atomic<bool> m_is_leaving{false};
    // Used only by `refresh`, which runs on one thread at a time.
    domain::share_table m_shares;
    std::set<std::string> m_leaving_upstreams;
};

} // namespace turmeric::router
