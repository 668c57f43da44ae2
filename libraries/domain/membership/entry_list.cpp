#include "libraries/domain/membership/entry_list.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// The smallest part of the answering routers that list a router, so that small
/// routers keep connections that grow when large ones are lost.
constexpr double min_listed_share = 0.125;
/// The part of the capacity that the routers must have that are not overloaded,
/// before the others are left out. With less, they would be overloaded next.
constexpr double min_capacity_with_room = 0.5;

/// Returns which part of `largest` a capacity is, by what binds more. What is
/// not stated counts as the largest.
double share_of(const router_capacity& capacity, const router_capacity& largest)
{
    const double cpu =
        capacity.cpu_share > 0 ? capacity.cpu_share / largest.cpu_share : 1;
    const double link =
        capacity.link_mbps > 0 ? capacity.link_mbps / largest.link_mbps : 1;
    return std::min(cpu, link);
}

/// Returns the largest capacity of each data centre.
std::map<std::string, router_capacity>
find_largest(const std::vector<const entry_candidate*>& usable)
{
    std::map<std::string, router_capacity> largest;
    for (const entry_candidate* one : usable)
    {
        router_capacity& known = largest[one->data_centre];
        known.cpu_share = std::max(known.cpu_share, one->capacity.cpu_share);
        known.link_mbps = std::max(known.link_mbps, one->capacity.link_mbps);
    }
    return largest;
}

/// Returns the largest capacity of all.
router_capacity
find_largest_of_all(const std::vector<const entry_candidate*>& usable)
{
    router_capacity largest;
    for (const entry_candidate* one : usable)
    {
        largest.cpu_share =
            std::max(largest.cpu_share, one->capacity.cpu_share);
        largest.link_mbps =
            std::max(largest.link_mbps, one->capacity.link_mbps);
    }
    return largest;
}

/// Leaves out overloaded routers if the others can take their callers.
void leave_out_overloaded_routers(std::vector<const entry_candidate*>& usable)
{
    const router_capacity largest = find_largest_of_all(usable);
    double all = 0;
    double with_room = 0;
    for (const entry_candidate* one : usable)
    {
        const double share = share_of(one->capacity, largest);
        all += share;
        with_room += one->is_overloaded ? 0 : share;
    }
    if (with_room >= all * min_capacity_with_room)
    {
        std::erase_if(usable, [](const entry_candidate* one)
                      { return one->is_overloaded; });
    }
}

/// Leaves out routers by their capacity, as the router at `self` does.
void leave_out_small_routers(std::vector<const entry_candidate*>& usable,
                             const std::string& self)
{
    const std::map<std::string, router_capacity> largest = find_largest(usable);
    const std::uint64_t key = digest_of(self);
    std::vector<const entry_candidate*> listed;
    for (const entry_candidate* one : usable)
    {
        const double share =
            std::max(min_listed_share,
                     share_of(one->capacity, largest.at(one->data_centre)));
        const double rank =
            static_cast<double>(rank_of(key, digest_of(one->address))) /
            static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        if (share >= 1 || rank < share)
        {
            listed.push_back(one);
        }
    }
    // The largest processor and the largest link of a data centre may belong to
    // different routers, so that none of them is listed for certain.
    for (const auto& [data_centre, capacity] : largest)
    {
        const auto is_here = [&name = data_centre](const entry_candidate* one)
        { return one->data_centre == name; };
        if (std::none_of(listed.begin(), listed.end(), is_here))
        {
            std::copy_if(usable.begin(), usable.end(),
                         std::back_inserter(listed), is_here);
        }
    }
    usable = std::move(listed);
}

} // namespace

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
    leave_out_overloaded_routers(usable);
    const auto self =
        std::find_if(candidates.begin(), candidates.end(),
                     [](const entry_candidate& one) { return one.is_self; });
    if (self != candidates.end())
    {
        leave_out_small_routers(usable, self->address);
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
