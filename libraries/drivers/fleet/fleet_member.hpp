#pragma once

#include <string>

namespace turmeric::drivers
{

/// What a router tells of itself under its lease.
struct fleet_member
{
    /// One start of a router.
    std::string incarnation;
    std::string vm;
    std::string data_centre;
    /// Where peers send datagrams and ask for the configuration.
    std::string peer_address;
    /// Where callers connect.
    std::string caller_address;
};

} // namespace turmeric::drivers
