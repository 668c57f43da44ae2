#pragma once

#include "libraries/drivers/answers/answer_store.hpp"
#include "libraries/drivers/configuration/configuration_follower.hpp"
#include "libraries/drivers/membership/membership_service.hpp"
#include "libraries/drivers/traffic/traffic_control.hpp"

#include <atomic>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::router
{

/// What is brought together; all outlive the wiring and are thread safe.
struct fleet_coordinator_dependencies
{
    drivers::membership_service& membership;
    drivers::configuration_follower& follower;
    drivers::traffic_control& traffic;
    drivers::answer_store& responses;
};

/// What a router is called in the fleet.
struct router_identity
{
    std::string incarnation;
    std::string vm;
    std::string data_centre;
    /// Peer addresses to ask when no member is known.
    std::vector<std::string> seed_peers;
};

/// Carries what the fleet says to the router's traffic, and back: capacity
/// shares, leaving upstreams and VMs, locate answers. Thread safe but for
/// `refresh`.
class fleet_coordinator
{
public:
    /// See `fleet_coordinator_dependencies`.
    fleet_coordinator(const fleet_coordinator_dependencies& dependencies,
                      router_identity self);

    /// Does one round; to be called a few times a second. Not thread safe.
    void refresh();

    /// Tells the fleet that this router is leaving; for good. Thread safe.
    void start_leaving();

    /// Says why this router cannot serve, if so. Thread safe.
    [[nodiscard]] std::optional<error> find_readiness_error() const;

    /// Returns the body of a locate answer for a client account, which may
    /// be empty. Thread safe.
    [[nodiscard]] std::string locate(const std::string& account);

    /// Returns peer addresses to ask for the configuration. Thread safe.
    [[nodiscard]] std::vector<std::string> peer_addresses();

    /// Returns peers that may keep copies of bills, those of other data
    /// centres first. Thread safe.
    [[nodiscard]] std::vector<std::string> bill_copy_peers() const;

    /// Tells whether an incarnation is up, as far as this router heard.
    /// Thread safe.
    [[nodiscard]] bool is_alive(const std::string& incarnation) const;

    /// Returns the peer that commits a budget shard; empty for this router.
    /// Thread safe.
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
    std::atomic<bool> m_has_had_share{false};
    std::atomic<bool> m_has_share{false};
    std::atomic<bool> m_is_leaving{false};
    // Touched by `refresh` alone.
    domain::share_table m_shares;
    std::set<std::string> m_leaving_upstreams;
};

} // namespace turmeric::router
