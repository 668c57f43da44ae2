#pragma once

#include "libraries/domain/placement/upstream_load_balancer.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmeric::drivers
{

/// What the fleet as a whole has of one account's prepaid tokens.
struct account_token_state
{
    /// What the store has granted to this router and what it borrowed.
    std::int64_t own_granted = 0;
    /// What the store has granted to all routers.
    std::int64_t granted_in_all = 0;
    /// What all routers that were ever heard of have used or hold.
    std::int64_t peers_spent = 0;
    /// What peers can still hold.
    std::int64_t peers_free = 0;
    /// What peers consume in a second, of late.
    std::int64_t peers_tokens_per_second = 0;
};

/// What the control thread tells the traffic thread of the other routers.
struct fleet_view
{
    /// Routers that serve, this one included; at least 1.
    std::int64_t routers = 1;
    std::map<std::string, domain::upstream_load> peer_load;
    std::map<std::string, account_token_state> accounts;
    /// Set while the store does not answer: when it was last known to.
    std::optional<ports::steady_time> store_unavailable_since;
    /// Whether a peer that was heard of late has a store that answers, so
    /// that it can lend what it gets.
    bool can_peer_reach_store = false;
};

/// What one account needs of the store.
struct account_token_demand
{
    std::int64_t used = 0;
    std::int64_t held = 0;
    std::int64_t free = 0;
    /// What one request holds, about.
    std::int64_t typical_hold = 0;
    /// What the control thread last told of as granted.
    std::int64_t granted = 0;
    /// What waiting requests lack beyond `free`.
    std::int64_t lacking = 0;
    /// What peers can still hold, and what they consume in a second; filled
    /// in by the control thread.
    std::int64_t peers_free = 0;
    std::int64_t peers_tokens_per_second = 0;
};

/// What the traffic thread tells the control thread.
struct traffic_digest
{
    std::map<std::string, domain::upstream_load> load;
    std::map<std::string, account_token_demand> accounts;
    /// Requests that are being answered.
    std::int64_t in_flight = 0;
};

} // namespace turmeric::drivers
