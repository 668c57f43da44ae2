#include "libraries/domain/membership/entry_list.hpp"

#include <algorithm>

namespace turmeric::domain
{

std::vector<std::string>
list_entries(const std::vector<entry_candidate>& candidates,
             const std::string& data_centre)
{
    const bool has_any_peer_report =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const entry_candidate& one)
                    { return !one.is_self && one.has_recent_report; });
    std::vector<const entry_candidate*> usable;
    for (const entry_candidate& one : candidates)
    {
        const bool is_alive =
            one.is_self || one.has_recent_report || !has_any_peer_report;
        if (is_alive && !one.is_leaving)
        {
            usable.push_back(&one);
        }
    }
    // Callers that try the list in order start in their own data centre.
    std::stable_sort(
        usable.begin(), usable.end(),
        [&](const entry_candidate* one, const entry_candidate* other)
        {
            return one->data_centre == data_centre &&
                   other->data_centre != data_centre;
        });
    std::vector<std::string> addresses;
    for (const entry_candidate* one : usable)
    {
        // A restarted router can be registered twice until its earlier lease
        // expires.
        if (std::find(addresses.begin(), addresses.end(), one->address) ==
            addresses.end())
        {
            addresses.push_back(one->address);
        }
    }
    return addresses;
}

} // namespace turmeric::domain
