#include "libraries/domain/prepaid/own_grant_history.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

constexpr std::size_t max_changes = 32;

/// Returns whether a record was begun with what its account's history had at
/// `at`.
bool is_counted(const prepaid_record& record, const record_position& at)
{
    const auto base = record.restored_from.find(at.era);
    return base != record.restored_from.end() && at.version <= base->second;
}

} // namespace

void own_grant_history::add(const record_position& at, std::int64_t tokens)
{
    m_changes.push_back({at, tokens});
    if (m_changes.size() > max_changes)
    {
        m_changes.pop_front();
        m_is_truncated = true;
    }
}

std::int64_t own_grant_history::take_uncounted(const prepaid_record& record,
                                               std::int64_t era,
                                               std::int64_t own_granted)
{
    std::int64_t uncounted = 0;
    bool may_miss_changes = m_is_truncated;
    while (!m_changes.empty() && m_changes.front().at.era < era)
    {
        const change oldest = m_changes.front();
        m_changes.pop_front();
        if (is_counted(record, oldest.at))
        {
            // All changes before this one count too.
            may_miss_changes = false;
            continue;
        }
        uncounted += oldest.tokens;
    }
    if (uncounted == 0 || !may_miss_changes)
    {
        m_is_truncated = false;
        return std::max<std::int64_t>(0, uncounted);
    }
    m_is_truncated = false;
    return std::max<std::int64_t>(0, own_granted);
}

} // namespace turmeric::domain
