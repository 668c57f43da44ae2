#pragma once

#include "libraries/domain/membership/member.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Limits on how each account's callers are distributed over the routers.
struct locate_limits
{
    /// Minimum number of routers that an account's callers are sent to.
    std::size_t min_routers = 8;
    /// Additional routers, listed for failover only.
    std::size_t failover_routers = 2;
    /// Factor on an account's fraction of the traffic that gives its fraction
    /// of the routers.
    double headroom = 1.5;
    /// How long callers may cache a response.
    std::chrono::milliseconds time_to_live{5'000};
};

/// The account whose callers are to be sent to routers.
struct locate_request
{
    std::string account;
    /// The account's expected fraction of all traffic, 0 to 1.
    double traffic_fraction = 0;
};

/// A router that callers may use.
struct located_router
{
    std::string address;
    std::string data_centre;
    /// Free slots by the router's last report; callers choose routers in
    /// proportion to it. 0 for routers listed for failover only.
    std::int64_t weight = 0;
};

/// The routers to connect to, in order of preference.
struct locate_response
{
    std::vector<located_router> routers;
    /// How long the caller may cache this response.
    std::chrono::milliseconds time_to_live{0};
};

/// Chooses the account's routers by rendezvous hashing, so that an account
/// uses few routers and its budget is split into few grants. Only eligible
/// routers are listed: never one that is unreachable, leaving or stopped.
/// Thread safe.
[[nodiscard]] locate_response locate(const membership_snapshot& snapshot,
                                     const locate_request& request,
                                     const locate_limits& limits);

} // namespace turmeric::domain
