#pragma once

#include <string>
#include <vector>

namespace turmeric::domain
{

/// One router as the directory sees it.
struct entry_candidate
{
    /// Where callers connect.
    std::string address;
    std::string data_centre;
    bool is_self = false;
    bool is_leaving = false;
    /// Whether it was heard of lately, by a datagram or by its registering.
    bool has_recent_report = false;
};

/// Returns the addresses for callers in `data_centre`: the routers that are
/// heard of and stay. When this router hears of no other it may be cut off
/// itself, and all that are registered are named. Thread safe.
[[nodiscard]] std::vector<std::string>
list_entries(const std::vector<entry_candidate>& candidates,
             const std::string& data_centre);

} // namespace turmeric::domain
