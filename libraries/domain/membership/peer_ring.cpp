#include "libraries/domain/membership/peer_ring.hpp"

#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <set>
#include <utility>

namespace turmeric::domain
{

namespace
{

using ring = std::vector<std::pair<std::uint64_t, std::string>>;

ring order_by_digest(const std::vector<std::string>& members)
{
    ring ordered;
    ordered.reserve(members.size());
    for (const std::string& member : members)
    {
        ordered.emplace_back(digest_of(member), member);
    }
    std::sort(ordered.begin(), ordered.end());
    return ordered;
}

const std::string& find_at_or_after(const ring& members, std::uint64_t position)
{
    auto found = std::lower_bound(members.begin(), members.end(),
                                  std::make_pair(position, std::string()));
    return found == members.end() ? members.front().second : found->second;
}

void add_neighbours(std::set<std::string>& peers, const ring& members,
                    std::size_t own, std::size_t neighbours)
{
    std::size_t size = members.size();
    for (std::size_t step = 1; step <= std::min(neighbours, size - 1); ++step)
    {
        peers.insert(members[(own + step) % size].second);
        peers.insert(members[(own + size - step) % size].second);
    }
}

void add_long_links(std::set<std::string>& peers, const ring& members,
                    std::size_t own, std::size_t neighbours)
{
    constexpr std::uint64_t divisor = 3;
    std::uint64_t position = members[own].first;
    std::uint64_t span = UINT64_MAX / divisor;
    std::size_t expected = members.size() / divisor;
    while (expected > neighbours)
    {
        // Unsigned overflow takes the position around the end of the ring.
        peers.insert(find_at_or_after(members, position + span));
        peers.insert(find_at_or_after(members, position - span));
        span /= divisor;
        expected /= divisor;
    }
}

} // namespace

std::vector<std::string> choose_peers(const std::string& self,
                                      const std::vector<std::string>& members,
                                      std::size_t neighbours)
{
    ring ordered = order_by_digest(members);
    auto found =
        std::find_if(ordered.begin(), ordered.end(),
                     [&self](const auto& item) { return item.second == self; });
    assert(found != ordered.end());
    std::size_t own = static_cast<std::size_t>(found - ordered.begin());
    std::set<std::string> peers;
    add_neighbours(peers, ordered, own, neighbours);
    add_long_links(peers, ordered, own, neighbours);
    peers.erase(self);
    return {peers.begin(), peers.end()};
}

} // namespace turmeric::domain
