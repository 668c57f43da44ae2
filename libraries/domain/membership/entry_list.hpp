#pragma once

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
};

/// Returns the addresses for callers in `data_centre`, routers in that data
/// centre first: the routers that reported recently and are not leaving. When
/// no other router reported, this router itself may be cut off, so all
/// registered routers that are not leaving are returned. Thread safe.
[[nodiscard]] std::vector<std::string>
list_entries(const std::vector<entry_candidate>& candidates,
             const std::string& data_centre);

} // namespace turmeric::domain
