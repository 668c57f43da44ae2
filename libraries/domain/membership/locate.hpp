#pragma once

#include "libraries/domain/membership/member.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// How callers are spread over the routers.
struct locate_limits
{
    /// The fewest routers that an account is sent to.
    std::size_t min_routers = 8;
    /// Further routers named for failover.
    std::size_t failover_routers = 2;
    /// Routers for an account relative to its part of the traffic.
    double headroom = 1.5;
    std::chrono::milliseconds time_to_live{5'000};
};

/// Who asks where to connect.
struct locate_request
{
    std::string account;
    /// The account's expected part of all traffic, 0 to 1.
    double traffic_fraction = 0;
};

/// A router that callers may use.
struct located_router
{
    std::string address;
    std::string data_centre;
    /// Free slots as last heard; callers choose in proportion; spare routers
    /// have 0.
    std::int64_t weight = 0;
};

/// Where to connect, first choice first.
struct locate_response
{
    std::vector<located_router> routers;
    std::chrono::milliseconds time_to_live{0};
};

/// Names the account's routers by rendezvous hashing, so that an account
/// keeps to few routers and its budget is split into few grants. Dead,
/// leaving and stopped routers are never named. Thread safe.
[[nodiscard]] locate_response locate(const membership_snapshot& snapshot,
                                     const locate_request& request,
                                     const locate_limits& limits);

} // namespace turmeric::domain
