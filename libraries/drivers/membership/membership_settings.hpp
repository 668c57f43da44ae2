#pragma once

#include "libraries/domain/membership/membership_view.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace turmeric::drivers
{

/// Store keys, intervals and limits of one router's membership.
struct membership_settings
{
    domain::membership_limits limits;
    std::string member_prefix = "/turmericfront/members/";
    std::string epoch_key = "/turmericfront/router_epochs";
    /// Renewed after each third of it.
    std::chrono::seconds lease_ttl{30};
    std::chrono::milliseconds heartbeat_interval{500};
    std::chrono::milliseconds heartbeat_timeout{400};
    /// Threads that call peers; several, so that a few unreachable peers do not
    /// delay the heartbeats to the others.
    std::size_t heartbeat_threads = 4;
    /// Time between two reads of the members: the larger one of this and of the
    /// time per router multiplied by the number of routers, so that the whole
    /// fleet's read rate does not grow with its size.
    std::chrono::milliseconds member_poll_interval{5'000};
    std::chrono::milliseconds member_poll_interval_per_router{200};
    /// The same for reads of the VM list.
    std::chrono::milliseconds vm_poll_interval{1'000};
    std::chrono::milliseconds vm_poll_interval_per_router{20};
};

} // namespace turmeric::drivers
