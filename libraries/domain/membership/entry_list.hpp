#pragma once

#include "libraries/domain/membership/router_capacity.hpp"

#include <string>
#include <vector>

namespace turmeric::domain
{

/// One registered router, as the directory of entries lists it.
struct entry_candidate
{
    /// Host and port for callers.
    std::string address;
    std::string data_centre;
    bool is_self = false;
    bool is_leaving = false;
    /// Whether a datagram or a registration from it arrived recently.
    bool has_recent_report = false;
    router_capacity capacity = {};
    /// Whether it is offered more than its VM carries.
    bool is_overloaded = false;
};

/// Returns the addresses for callers in `data_centre`, routers in that data
/// centre first: the routers that reported recently and are not leaving. When
/// no other router reported, this router itself may be cut off, so all
/// registered routers that are not leaving are returned.
///
/// Overloaded routers are left out, so that their callers choose others, as
/// long as the others have at least half of the capacity.
///
/// Callers choose among the addresses at random, so a router with less capacity
/// than the largest of its data centre is left out by a part of the routers
/// that answer. Each leaves out the same ones all the time, since callers close
/// their connections to addresses that are not listed any more. Thread safe.
[[nodiscard]] std::vector<std::string>
list_entries(const std::vector<entry_candidate>& candidates,
             const std::string& data_centre);

} // namespace turmeric::domain
