// The member functions of membership_view that decide on epochs.

#include "libraries/domain/membership/membership_view.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void erase_unused_routers(epoch_record& record)
{
    std::set<std::string> used;
    for (const router_epoch& epoch : record.epochs)
    {
        used.insert(epoch.routers.begin(), epoch.routers.end());
    }
    std::erase_if(record.origins, [&used](const auto& item)
                  { return !used.contains(item.first); });
    std::erase_if(record.ended, [&used](const std::string& router)
                  { return !used.contains(router); });
}

} // namespace

bool membership_view::has_successor(const router_origin& origin) const
{
    return std::any_of(m_members.begin(), m_members.end(),
                       [&origin](const auto& item)
                       {
                           const member_entry& other = item.second;
                           return other.has_lease &&
                                  other.row.identity.vm == origin.vm &&
                                  other.row.identity.started > origin.started;
                       });
}

bool membership_view::has_end_evidence(const std::string& incarnation,
                                       const router_origin& origin,
                                       ports::steady_time now) const
{
    auto found = m_members.find(incarnation);
    bool is_reachable =
        found != m_members.end() &&
        (found->second.has_lease || !is_unreachable(found->second, now));
    if (is_reachable || !m_leases_read_at || !m_vms_read_at)
    {
        return false;
    }
    if (has_successor(origin))
    {
        return true;
    }
    auto observation = m_vms.find(origin.vm);
    return observation != m_vms.end() && !observation->second.is_listed &&
           *m_vms_read_at - observation->second.last_seen >=
               m_limits.vm_gone_after;
}

void membership_view::update_end_evidence(ports::steady_time now)
{
    std::map<std::string, ports::steady_time> since;
    for (const auto& [incarnation, origin] : m_record.origins)
    {
        if (has_end_evidence(incarnation, origin, now))
        {
            auto found = m_ended_since.find(incarnation);
            since[incarnation] =
                found == m_ended_since.end() ? now : found->second;
        }
    }
    m_ended_since = std::move(since);
}

bool membership_view::has_ended(const std::string& incarnation,
                                ports::steady_time now) const
{
    auto found = m_members.find(incarnation);
    if (found != m_members.end() &&
        found->second.row.state == member_state::stopped)
    {
        return true;
    }
    auto since = m_ended_since.find(incarnation);
    return since != m_ended_since.end() &&
           now - since->second >= m_limits.max_request_duration;
}

std::size_t membership_view::own_proposal_rank(ports::steady_time now) const
{
    std::size_t earlier = 0;
    for (const auto& [incarnation, entry] : m_members)
    {
        if (incarnation == m_self)
        {
            break;
        }
        // A registered router without a report may be about to write too.
        bool is_new = entry.row.version == 0 && entry.has_lease;
        earlier += is_new || is_eligible(entry, now) ? 1 : 0;
    }
    return earlier;
}

std::vector<std::string>
membership_view::next_routers(const epoch_record& next,
                              ports::steady_time now) const
{
    std::set<std::string> routers;
    if (!m_record.epochs.empty())
    {
        for (const std::string& router : m_record.epochs.back().routers)
        {
            auto found = m_members.find(router);
            bool is_departing = found != m_members.end() &&
                                found->second.row.state != member_state::live;
            // A router that is only unreachable keeps its slots: it may be
            // cut off from this router and still use them.
            if (!is_departing && !contains(next.ended, router))
            {
                routers.insert(router);
            }
        }
    }
    for (const auto& [incarnation, entry] : m_members)
    {
        if (is_eligible(entry, now))
        {
            routers.insert(incarnation);
        }
    }
    return {routers.begin(), routers.end()};
}

void membership_view::erase_released_epochs(epoch_record& record) const
{
    auto has_released = [this, &record](const std::string& router)
    {
        auto found = m_members.find(router);
        epoch_number acknowledged =
            found == m_members.end() ? 0 : found->second.row.acknowledged;
        return acknowledged > record.epochs.front().number ||
               contains(record.ended, router);
    };
    while (record.epochs.size() > 1 &&
           std::all_of(record.epochs.front().routers.begin(),
                       record.epochs.front().routers.end(), has_released))
    {
        record.epochs.erase(record.epochs.begin());
    }
    erase_unused_routers(record);
}

epoch_record membership_view::next_record(ports::steady_time now) const
{
    epoch_record next = m_record;
    for (const auto& [incarnation, origin] : m_record.origins)
    {
        if (has_ended(incarnation, now) && !contains(next.ended, incarnation))
        {
            next.ended.push_back(incarnation);
        }
    }
    std::vector<std::string> routers = next_routers(next, now);
    erase_released_epochs(next);
    bool is_changed =
        next.epochs.empty() || next.epochs.back().routers != routers;
    if (is_changed && next.epochs.size() < m_limits.max_epochs)
    {
        next.epochs.push_back(router_epoch{next.newest() + 1, routers});
    }
    for (const std::string& router : next.epochs.back().routers)
    {
        auto found = m_members.find(router);
        if (found != m_members.end())
        {
            const member& identity = found->second.row.identity;
            next.origins[router] = {identity.vm, identity.started};
        }
    }
    return next;
}

std::optional<epoch_record> membership_view::propose(ports::steady_time now)
{
    update_end_evidence(now);
    auto own = m_members.find(m_self);
    if (!m_leases_read_at || !m_vms_read_at || !is_eligible(own->second, now))
    {
        return std::nullopt;
    }
    epoch_record next = next_record(now);
    if (next == m_record)
    {
        m_record_outdated_since.reset();
        return std::nullopt;
    }
    if (!m_record_outdated_since)
    {
        m_record_outdated_since = now;
    }
    std::chrono::milliseconds wait =
        m_limits.proposal_stagger *
        static_cast<std::int64_t>(own_proposal_rank(now));
    if (now - *m_record_outdated_since < wait)
    {
        return std::nullopt;
    }
    ++next.revision;
    return next;
}

} // namespace turmeric::domain
