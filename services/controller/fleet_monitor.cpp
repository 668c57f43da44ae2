#include "services/controller/fleet_monitor.hpp"

#include "libraries/codecs/membership/membership_json.hpp"

#include <algorithm>

namespace turmeric::controller
{

namespace
{

constexpr const char* member_prefix = "/turmericfront/members/";

} // namespace

fleet_monitor::fleet_monitor(ports::key_value_store& store, ports::vm_list& vms,
                             const ports::clock& clock,
                             fleet_monitor_settings settings)
    : m_store(store)
    , m_vms(vms)
    , m_clock(clock)
    , m_settings(settings)
{
}

status fleet_monitor::refresh()
{
    const result<ports::key_range> range = m_store.list(member_prefix);
    if (!range)
    {
        return range.failure();
    }
    const result<std::vector<ports::vm_entry>> listed = m_vms.read();
    const ports::steady_time now = m_clock.steady_now();
    std::lock_guard<std::mutex> lock(m_mutex);
    update_members(range.value(), now);
    if (listed)
    {
        update_vms(listed.value(), now);
    }
    return success();
}

std::vector<domain::member> fleet_monitor::members() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<domain::member> with_lease;
    for (const auto& [incarnation, observed] : m_members)
    {
        if (observed.has_lease)
        {
            with_lease.push_back(observed.identity);
        }
    }
    return with_lease;
}

std::vector<std::string> fleet_monitor::peer_addresses() const
{
    std::vector<std::string> addresses;
    for (const domain::member& identity : members())
    {
        addresses.push_back(identity.peer_address);
    }
    return addresses;
}

domain::incarnation_evidence
fleet_monitor::evidence_of(const std::string& incarnation) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_members.find(incarnation);
    if (found == m_members.end())
    {
        return {};
    }
    const observed_member& observed = found->second;
    domain::incarnation_evidence evidence;
    evidence.has_lease = observed.has_lease;
    evidence.has_vm_left =
        has_vm_left(observed.identity.vm, m_clock.steady_now());
    evidence.has_successor = has_successor(observed.identity);
    return evidence;
}

void fleet_monitor::update_members(const ports::key_range& range,
                                   ports::steady_time now)
{
    for (auto& [incarnation, observed] : m_members)
    {
        observed.has_lease = false;
    }
    for (const ports::key_value& entry : range.entries)
    {
        result<domain::member> identity = codecs::read_member(entry.value);
        if (identity)
        {
            m_members[identity.value().incarnation] = {identity.value(), true,
                                                       now};
        }
    }
    std::erase_if(m_members,
                  [this, now](const auto& entry) {
                      return now - entry.second.last_seen_at >
                             m_settings.member_retention;
                  });
}

void fleet_monitor::update_vms(const std::vector<ports::vm_entry>& listed,
                               ports::steady_time now)
{
    for (const ports::vm_entry& entry : listed)
    {
        m_vm_last_listed_at[entry.vm] = now;
    }
    m_vms_read_at = now;
}

bool fleet_monitor::has_vm_left(const std::string& vm,
                                ports::steady_time now) const
{
    auto listed = m_vm_last_listed_at.find(vm);
    // An outdated list is no evidence that a VM has been removed.
    const bool has_recent_list =
        now - m_vms_read_at < m_settings.vm_removed_after;
    return listed != m_vm_last_listed_at.end() && has_recent_list &&
           m_vms_read_at - listed->second >= m_settings.vm_removed_after;
}

bool fleet_monitor::has_successor(const domain::member& identity) const
{
    return std::any_of(m_members.begin(), m_members.end(),
                       [&identity](const auto& entry)
                       {
                           const domain::member& other = entry.second.identity;
                           return other.vm == identity.vm &&
                                  other.incarnation != identity.incarnation &&
                                  other.started > identity.started;
                       });
}

} // namespace turmeric::controller
