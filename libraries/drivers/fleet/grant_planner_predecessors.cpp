#include "libraries/drivers/fleet/grant_planner.hpp"

#include <algorithm>

namespace turmeric::drivers
{

bool grant_planner::is_closing_due(const std::string& account,
                                   const account_state& state) const
{
    return state.is_record_current &&
           std::any_of(
               state.record.granted_to.begin(), state.record.granted_to.end(),
               [&](const auto& entry)
               {
                   return m_predecessors.is_predecessor(entry.first) &&
                          m_predecessors.max_spent(entry.first, account);
               });
}

std::vector<closed_grant>
grant_planner::close_predecessors(const std::string& account,
                                  domain::prepaid_record& record) const
{
    std::vector<closed_grant> closed;
    for (const auto& [incarnation, granted] : record.granted_to)
    {
        if (m_predecessors.is_predecessor(incarnation) &&
            (m_predecessors.max_spent(incarnation, account) ||
             m_predecessors.has_no_witness(incarnation)))
        {
            closed.push_back({incarnation, granted, 0});
        }
    }
    for (closed_grant& one : closed)
    {
        one.freed = domain::close_grant(
            record, one.incarnation,
            m_predecessors.max_spent(one.incarnation, account)
                .value_or(one.granted));
    }
    return closed;
}

std::map<std::string, std::set<std::string>>
grant_planner::list_predecessors() const
{
    std::map<std::string, std::set<std::string>> predecessors;
    for (const auto& [account, state] : m_accounts)
    {
        if (!state.is_record_current)
        {
            continue;
        }
        for (const auto& [incarnation, granted] : state.record.granted_to)
        {
            if (m_predecessors.is_predecessor(incarnation))
            {
                predecessors[incarnation].insert(account);
            }
        }
    }
    return predecessors;
}

} // namespace turmeric::drivers
