#pragma once

#include "libraries/domain/membership/membership_view.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace turmeric::drivers
{

/// How a router takes part in membership.
struct membership_settings
{
    domain::membership_limits limits;
    std::string member_prefix = "/turmericfront/members/";
    std::string epoch_key = "/turmericfront/router_epochs";
    /// Renewed at a third of it.
    std::chrono::seconds lease_ttl{30};
    std::chrono::milliseconds heartbeat_interval{500};
    std::chrono::milliseconds heartbeat_timeout{400};
    /// Threads that call peers, so that few silent ones delay no other.
    std::size_t heartbeat_threads = 4;
    /// Pause between reads of the members, and the part of it that each
    /// further router adds, so that reads of all do not grow with the fleet.
    std::chrono::milliseconds member_poll_interval{5'000};
    std::chrono::milliseconds member_poll_interval_per_router{200};
    std::chrono::milliseconds vm_poll_interval{1'000};
    std::chrono::milliseconds vm_poll_interval_per_router{20};
};

} // namespace turmeric::drivers
