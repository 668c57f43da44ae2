#pragma once

#include "libraries/domain/membership/router_capacity.hpp"

#include <string>

namespace turmeric::drivers
{

/// The entry that a router registers in the store under its lease.
struct fleet_member
{
    /// Identifies one start of a router process.
    std::string incarnation;
    std::string vm;
    std::string data_centre;
    /// Where peers send datagrams and ask for the configuration.
    std::string peer_address;
    /// Where callers connect.
    std::string caller_address;
    domain::router_capacity capacity = {};
};

} // namespace turmeric::drivers
