#pragma once

namespace turmeric::domain
{

/// What a router's VM can carry; 0 where its settings do not say so.
struct router_capacity
{
    /// Share of a processor core.
    double cpu_share = 0;
    /// Speed of the network link, in megabits per second.
    double link_mbps = 0;

    bool operator==(const router_capacity&) const = default;
};

} // namespace turmeric::domain
