#include "libraries/domain/prepaid/spending_witness.hpp"

namespace turmeric::domain
{

bool spending_witness::remember(const std::string& incarnation,
                                const std::string& account,
                                const spending_report& report)
{
    std::map<std::string, spending_report>& accounts =
        m_routers[incarnation].accounts;
    const auto known = accounts.find(account);
    if (known != accounts.end())
    {
        known->second.merge(report);
        return true;
    }
    if (m_rows >= max_rows)
    {
        return false;
    }
    accounts.emplace(account, report);
    ++m_rows;
    return true;
}

std::optional<spending_report>
spending_witness::find(const std::string& incarnation,
                       const std::string& account) const
{
    const auto router = m_routers.find(incarnation);
    if (router == m_routers.end())
    {
        return std::nullopt;
    }
    const auto known = router->second.accounts.find(account);
    return known == router->second.accounts.end()
               ? std::nullopt
               : std::optional(known->second);
}

void spending_witness::set_registered(const std::set<std::string>& incarnations,
                                      ports::steady_time now)
{
    for (auto router = m_routers.begin(); router != m_routers.end();)
    {
        known_router& known = router->second;
        if (incarnations.count(router->first) > 0)
        {
            known.missing_since.reset();
        }
        else
        {
            known.missing_since = known.missing_since.value_or(now);
        }
        if (known.missing_since && now - *known.missing_since >= retention)
        {
            m_rows -= known.accounts.size();
            router = m_routers.erase(router);
            continue;
        }
        ++router;
    }
}

} // namespace turmeric::domain
