#include "libraries/domain/membership/router_ranking.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>

namespace turmeric::domain
{

router_ranking::router_ranking(const std::string& self,
                               const std::set<std::string>& peers)
    : m_self(digest_of(self))
{
    m_peers.reserve(peers.size());
    for (const std::string& peer : peers)
    {
        m_peers.push_back(digest_of(peer));
    }
}

std::size_t router_ranking::position_for(std::uint64_t key) const
{
    const std::uint64_t own_rank = rank_of(key, m_self);
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(),
        [&](std::uint64_t peer) { return rank_of(key, peer) > own_rank; }));
}

bool router_ranking::is_first_for(std::uint64_t key) const
{
    return position_for(key) == 0;
}

std::size_t router_ranking::size() const
{
    return m_peers.size() + 1;
}

} // namespace turmeric::domain
