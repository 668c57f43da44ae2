#include "services/controller/fleet_watch.hpp"

#include "libraries/codecs/membership/membership_json.hpp"

#include <algorithm>

namespace turmeric::controller
{

namespace
{

constexpr const char* member_prefix = "/turmericfront/members/";

} // namespace

fleet_watch::fleet_watch(ports::key_value_store& store, ports::vm_list& vms,
                         const ports::clock& clock,
                         fleet_watch_settings settings)
    : m_store(store)
    , m_vms(vms)
    , m_clock(clock)
    , m_settings(settings)
{
}

status fleet_watch::refresh()
{
    const result<ports::key_range> range = m_store.list(member_prefix);
    if (!range)
    {
        return range.failure();
    }
    const result<std::vector<ports::vm_entry>> listed = m_vms.read();
    const ports::steady_time now = m_clock.steady_now();
    std::lock_guard<std::mutex> lock(m_mutex);
    take_members(range.value(), now);
    if (listed)
    {
        take_vms(listed.value(), now);
    }
    return success();
}

std::vector<domain::member> fleet_watch::members() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<domain::member> found;
    for (const auto& [incarnation, known] : m_members)
    {
        if (known.has_lease)
        {
            found.push_back(known.who);
        }
    }
    return found;
}

std::vector<std::string> fleet_watch::peer_addresses() const
{
    std::vector<std::string> addresses;
    for (const domain::member& who : members())
    {
        addresses.push_back(who.peer_address);
    }
    return addresses;
}

domain::incarnation_evidence
fleet_watch::evidence_of(const std::string& incarnation) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_members.find(incarnation);
    if (found == m_members.end())
    {
        return {};
    }
    const known_member& known = found->second;
    domain::incarnation_evidence evidence;
    evidence.has_lease = known.has_lease;
    evidence.has_vm_left = has_vm_left(known.who.vm, m_clock.steady_now());
    evidence.has_successor = has_successor(known.who);
    return evidence;
}

void fleet_watch::take_members(const ports::key_range& range,
                               ports::steady_time now)
{
    for (auto& [incarnation, known] : m_members)
    {
        known.has_lease = false;
    }
    for (const ports::key_value& entry : range.entries)
    {
        result<domain::member> who = codecs::read_member(entry.value);
        if (who)
        {
            m_members[who.value().incarnation] = {who.value(), true, now};
        }
    }
    std::erase_if(m_members,
                  [this, now](const auto& entry) {
                      return now - entry.second.seen > m_settings.forget_after;
                  });
}

void fleet_watch::take_vms(const std::vector<ports::vm_entry>& listed,
                           ports::steady_time now)
{
    for (const ports::vm_entry& entry : listed)
    {
        m_vm_listed[entry.vm] = now;
    }
    m_vms_read = now;
}

bool fleet_watch::has_vm_left(const std::string& vm,
                              ports::steady_time now) const
{
    auto listed = m_vm_listed.find(vm);
    // An old reading of the list says nothing of VMs that it lacks.
    const bool is_list_fresh = now - m_vms_read < m_settings.vm_gone_after;
    return listed != m_vm_listed.end() && is_list_fresh &&
           m_vms_read - listed->second >= m_settings.vm_gone_after;
}

bool fleet_watch::has_successor(const domain::member& who) const
{
    return std::any_of(m_members.begin(), m_members.end(),
                       [&who](const auto& entry)
                       {
                           const domain::member& other = entry.second.who;
                           return other.vm == who.vm &&
                                  other.incarnation != who.incarnation &&
                                  other.started > who.started;
                       });
}

} // namespace turmeric::controller
