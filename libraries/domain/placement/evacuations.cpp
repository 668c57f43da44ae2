#include "libraries/domain/placement/evacuations.hpp"

#include <chrono>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// Operators write again within two seconds of a restore what the copy lacks.
constexpr std::chrono::milliseconds restore_grace{2'100};

} // namespace

std::vector<evacuation_change>
evacuations::update(std::set<std::string> ordered, std::int64_t era,
                    ports::steady_time now)
{
    if (m_era && *m_era != era)
    {
        m_restored_at = now;
    }
    m_era = era;
    std::vector<evacuation_change> changes;
    for (const std::string& data_centre : ordered)
    {
        if (!contains(data_centre))
        {
            changes.push_back({data_centre, true});
        }
        m_kept.erase(data_centre);
    }
    const std::set<std::string> previous =
        std::exchange(m_ordered, std::move(ordered));
    for (const std::string& data_centre : previous)
    {
        if (m_ordered.count(data_centre) != 0)
        {
            continue;
        }
        if (m_restored_at && now - *m_restored_at < restore_grace)
        {
            m_kept[data_centre] = *m_restored_at + restore_grace;
            continue;
        }
        changes.push_back({data_centre, false});
    }
    return changes;
}

std::vector<evacuation_change> evacuations::expire(ports::steady_time now)
{
    std::vector<evacuation_change> changes;
    for (auto kept = m_kept.begin(); kept != m_kept.end();)
    {
        if (now < kept->second)
        {
            ++kept;
            continue;
        }
        changes.push_back({kept->first, false});
        kept = m_kept.erase(kept);
    }
    return changes;
}

bool evacuations::contains(const std::string& data_centre) const
{
    return m_ordered.count(data_centre) != 0 || m_kept.count(data_centre) != 0;
}

std::size_t evacuations::size() const
{
    return m_ordered.size() + m_kept.size();
}

} // namespace turmeric::domain
