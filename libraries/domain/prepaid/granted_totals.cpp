#include "libraries/domain/prepaid/granted_totals.hpp"

#include <algorithm>

namespace turmeric::domain
{

void granted_totals::merge(const std::string& account,
                           const granted_total& total)
{
    const auto [known, is_new] = m_totals.try_emplace(account, total);
    if (is_new || total.at < known->second.at)
    {
        return;
    }
    if (total.at == known->second.at)
    {
        known->second.tokens = std::max(known->second.tokens, total.tokens);
        return;
    }
    known->second = total;
}

std::optional<granted_total>
granted_totals::find(const std::string& account) const
{
    const auto found = m_totals.find(account);
    return found == m_totals.end() ? std::nullopt
                                   : std::optional(found->second);
}

const std::map<std::string, granted_total>& granted_totals::all() const
{
    return m_totals;
}

void granted_totals::add_known_era(std::int64_t era)
{
    if (era != 0 && (m_known_since == 0 || era < m_known_since))
    {
        m_known_since = era;
    }
}

std::int64_t granted_totals::known_since() const
{
    return m_known_since;
}

} // namespace turmeric::domain
