#include "libraries/domain/prepaid/spending_limit.hpp"

#include <algorithm>

namespace turmeric::domain
{

void spending_limit::confirm(const std::string& witness, std::int64_t limit)
{
    const auto [known, is_new] = m_confirmed.try_emplace(witness, limit);
    known->second = std::max(known->second, limit);
}

bool spending_limit::has_confirmed(const std::string& witness) const
{
    const auto known = m_confirmed.find(witness);
    return known != m_confirmed.end() && known->second >= m_limit;
}

void spending_limit::bind()
{
    m_is_bound = true;
}

void spending_limit::release()
{
    m_is_bound = false;
}

bool spending_limit::is_bound() const
{
    return m_is_bound;
}

std::int64_t spending_limit::update(std::int64_t total,
                                    const std::set<std::string>& witnesses)
{
    std::int64_t permitted = total;
    if (m_is_bound)
    {
        for (const std::string& witness : witnesses)
        {
            const auto known = m_confirmed.find(witness);
            permitted = std::min(
                permitted, known == m_confirmed.end() ? 0 : known->second);
        }
    }
    m_limit = std::max(m_limit, permitted);
    return m_limit;
}

void spending_limit::plan(const spending_need& need)
{
    // Half of the reserve is left while the next announcement is under way.
    constexpr std::int64_t renewal_divisor = 2;
    const std::int64_t needed = need.spent + need.waiting;
    if (m_announced.limit < needed + need.reserve / renewal_divisor)
    {
        m_announced.limit = needed + need.reserve;
    }
    m_announced.limit = std::max(m_announced.limit, m_limit);
    m_announced.borrowed = std::max(m_announced.borrowed, need.borrowed);
}

const spending_report& spending_limit::announced() const
{
    return m_announced;
}

bool spending_limit::is_announcement_due(const std::string& witness) const
{
    const auto known = m_confirmed.find(witness);
    return known == m_confirmed.end() || known->second < m_announced.limit;
}

void spending_limit::forget_others(const std::set<std::string>& kept)
{
    std::erase_if(m_confirmed, [&](const auto& entry)
                  { return kept.count(entry.first) == 0; });
}

} // namespace turmeric::domain
