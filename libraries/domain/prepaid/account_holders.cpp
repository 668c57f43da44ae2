#include "libraries/domain/prepaid/account_holders.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

void account_holders::set_routers(const std::set<std::string>& routers)
{
    if (routers == m_routers)
    {
        return;
    }
    m_routers = routers;
    m_holders.clear();
    m_router_digests.clear();
    for (const std::string& router : routers)
    {
        m_router_digests.emplace(router, digest_of(router));
    }
}

const std::vector<std::string>&
account_holders::list(const std::string& account)
{
    const auto known = m_holders.find(account);
    if (known != m_holders.end())
    {
        return known->second;
    }
    const std::uint64_t key = digest_of(account);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [router, digest] : m_router_digests)
    {
        ranked.emplace_back(rank_of(key, digest), router);
    }
    const std::size_t count = std::min(max_account_holders, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<std::string>& holders = m_holders[account];
    std::transform(ranked.begin(), end, std::back_inserter(holders),
                   [](const auto& entry) { return entry.second; });
    return holders;
}

bool account_holders::is_holder(const std::string& account,
                                const std::string& router)
{
    const std::vector<std::string>& holders = list(account);
    return std::find(holders.begin(), holders.end(), router) != holders.end();
}

} // namespace turmeric::domain
