#pragma once

#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/domain/move/version_split.hpp"
#include "libraries/domain/placement/upstream_load_balancer.hpp"
#include "libraries/domain/placement/upstream_observations.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The prepaid tokens of one account across the fleet.
struct account_token_state
{
    /// Total of the tokens that this router was granted by the store and that
    /// it borrowed from peers.
    std::int64_t own_granted = 0;
    /// Total of the tokens that the store has granted to all routers.
    std::int64_t granted_in_all = 0;
    /// Tokens that other routers have used or hold, as of the last report of
    /// each router that ever reported. Holds count only in recent reports.
    std::int64_t peers_spent = 0;
    /// Tokens that peers have free, by their recent reports.
    std::int64_t peers_free = 0;
    /// Tokens that peers consume per second, by their recent reports.
    std::int64_t peers_tokens_per_second = 0;
    /// As in `account_token_demand`.
    bool is_holder = true;
    /// The most that this router may spend and pass on of the account.
    std::int64_t spending_limit = std::numeric_limits<std::int64_t>::max();
};

/// A router that peers can send requests to, and the services whose upstreams
/// it does not reach.
struct peer_path
{
    std::string caller_address;
    std::string data_centre;
    std::set<std::string> cut_off_services;
};

/// The state of the fleet, which the control thread passes to the traffic
/// thread.
struct fleet_view
{
    /// Number of routers that serve, including this one; at least 1.
    std::int64_t routers = 1;
    /// The routers with a recent report that are not leaving.
    domain::router_ranking ranking;
    /// All registered routers, whether or not they reported lately; nothing
    /// until they have been read.
    std::optional<domain::router_ranking> registered = std::nullopt;
    /// Load placed by peers, by upstream id.
    std::map<std::string, domain::upstream_load> peer_load;
    /// By account name.
    std::map<std::string, account_token_state> accounts;
    /// Set during an outage of the store: when the store was last known to
    /// respond.
    std::optional<ports::steady_time> store_unavailable_since;
    /// Whether a peer with a recent report can reach the store, so that it can
    /// get grants and lend from them.
    bool can_peer_reach_store = false;
    /// The registered peers with a recent digest that are neither leaving nor
    /// overloaded.
    std::vector<peer_path> peer_paths;
    /// The services that are moved to another version.
    std::vector<domain::service_split> splits;
    std::int64_t evacuated_data_centres = 0;
};

/// The state of one account's tokens in this router and what it needs from the
/// store.
struct account_token_demand
{
    std::int64_t used = 0;
    std::int64_t held = 0;
    std::int64_t free = 0;
    /// Estimated number of tokens that one request holds.
    std::int64_t typical_hold = 0;
    /// The granted total that the control thread last passed to the traffic
    /// thread.
    std::int64_t granted = 0;
    /// Tokens that waiting requests need in addition to `free`.
    std::int64_t lacking = 0;
    /// Tokens that are used, held, lent or were passed on.
    std::int64_t spent = 0;
    /// Tokens that waiting requests need.
    std::int64_t waiting = 0;
    /// As in `account_token_state`; filled in by the control thread, as are the
    /// following fields.
    std::int64_t peers_free = 0;
    std::int64_t peers_tokens_per_second = 0;
    /// Tokens lent to routers that hold none of the account, in all.
    std::int64_t lent = 0;
    /// Whether this router obtains grants of the account to spend and to lend;
    /// otherwise it borrows what its requests lack.
    bool is_holder = true;
    /// Whether peers may lend tokens of the account, so that a router that does
    /// not hold it need not ask the store.
    bool can_borrow = false;
};

/// The state of the traffic, which the traffic thread passes to the control
/// thread.
struct traffic_digest
{
    /// Load placed by this router, by upstream id.
    std::map<std::string, domain::upstream_load> load;
    /// By account name.
    std::map<std::string, account_token_demand> accounts;
    /// Number of requests in flight.
    std::int64_t in_flight = 0;
    /// Whether the traffic thread refuses new requests, as the router stops.
    bool is_refusing = false;
    /// Number of callers' connections with response bytes that are not written
    /// yet; counted only while the traffic thread refuses requests.
    std::int64_t unwritten_responses = 0;
    domain::upstream_observations observations;
    /// The prompt parts and requests that are blocked.
    std::vector<domain::suspect_id> blocked;
    /// The services whose upstreams this router does not reach.
    std::set<std::string> cut_off_services;
    /// Whether this router is offered more than its VM carries.
    bool is_overloaded = false;
    /// What was seen of the versions of services that are moved.
    std::vector<domain::move_report> moves;
};

/// Returns whether a stopping router may end without cutting a request: none is
/// in flight, none is accepted any more and all responses are written. All of
/// it is decided on the traffic thread, since another thread cannot tell when
/// the refusal has begun there. Thread safe.
[[nodiscard]] bool is_drained(const traffic_digest& digest);

} // namespace turmeric::drivers
