#include "libraries/domain/membership/membership_view.hpp"

#include "libraries/domain/membership/peer_ring.hpp"

#include <algorithm>
#include <cstdlib>

namespace turmeric::domain
{

namespace
{

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

membership_view::membership_view(const member& self,
                                 const membership_limits& limits,
                                 ports::steady_time now)
    : m_limits(limits)
    , m_self(self.incarnation)
    , m_refreshed_at(now)
{
    member_entry& entry = m_members[m_self];
    entry.row.identity = self;
    entry.row.version = 1;
    entry.last_heartbeat_at = now;
    entry.version_raised_at = now;
    mark_changed(entry);
}

membership_view::member_entry& membership_view::self()
{
    return m_members.at(m_self);
}

void membership_view::mark_changed(member_entry& entry)
{
    entry.change_index = ++m_change_count;
}

void membership_view::increment_own_version()
{
    member_entry& entry = self();
    ++entry.row.version;
    entry.row.suspected_by.clear();
    mark_changed(entry);
}

void membership_view::set_state(member_state state)
{
    if (state > self().row.state)
    {
        self().row.state = state;
        increment_own_version();
    }
}

void membership_view::set_share(std::int64_t share)
{
    if (share != self().row.share)
    {
        self().row.share = share;
        increment_own_version();
    }
}

void membership_view::set_load(std::int64_t load, ports::steady_time now)
{
    constexpr std::int64_t steps_per_share = 8;
    member_row& row = self().row;
    std::int64_t step = std::max<std::int64_t>(row.share / steps_per_share, 1);
    bool is_early = m_load_reported_at &&
                    now - *m_load_reported_at < m_limits.min_load_interval;
    if (is_early || std::abs(load - row.load) < step)
    {
        return;
    }
    row.load = load;
    m_load_reported_at = now;
    increment_own_version();
}

void membership_view::set_acknowledged(epoch_number number)
{
    if (number > self().row.acknowledged)
    {
        self().row.acknowledged = number;
        increment_own_version();
    }
}

void membership_view::set_configuration(std::int64_t version,
                                        const std::string& digest)
{
    member_row& row = self().row;
    if (version > row.configuration_version)
    {
        row.configuration_version = version;
        row.configuration_digest = digest;
        increment_own_version();
    }
}

void membership_view::update_leases(const std::vector<member>& registered,
                                    ports::steady_time now)
{
    for (auto& [incarnation, entry] : m_members)
    {
        entry.has_lease = false;
    }
    for (const member& listed : registered)
    {
        auto [found, is_new] =
            m_members.try_emplace(listed.incarnation, member_entry{});
        found->second.has_lease = true;
        if (is_new)
        {
            // Any report of the member itself replaces version 0.
            found->second.row.identity = listed;
            found->second.version_raised_at = now;
            mark_changed(found->second);
        }
    }
    m_leases_read_at = now;
}

void membership_view::update_vms(const std::vector<ports::vm_entry>& vms,
                                 ports::steady_time now)
{
    for (auto& [vm, observation] : m_vms)
    {
        observation.is_listed = false;
    }
    for (const ports::vm_entry& listed : vms)
    {
        vm_observation& observation = m_vms[listed.vm];
        observation.is_listed = true;
        observation.is_leaving = listed.state == ports::vm_state::leaving;
        observation.last_seen = now;
    }
    for (const auto& [incarnation, entry] : m_members)
    {
        m_vms.try_emplace(entry.row.identity.vm,
                          vm_observation{.last_seen = now});
    }
    for (const auto& [incarnation, origin] : m_record.origins)
    {
        m_vms.try_emplace(origin.vm, vm_observation{.last_seen = now});
    }
    m_vms_read_at = now;
}

void membership_view::update_record(const epoch_record& record)
{
    if (record.revision > m_record.revision)
    {
        m_record = record;
        m_record_outdated_since.reset();
    }
}

heartbeat membership_view::make_heartbeat(const std::string& receiver,
                                          ports::steady_time now)
{
    peer_progress& progress = m_progress[receiver];
    heartbeat message;
    message.sender = m_self;
    message.index = m_change_count;
    message.received = progress.received;
    message.record_revision = m_record.revision;
    for (const auto& [incarnation, entry] : m_members)
    {
        bool has_own_report = entry.row.version > 0;
        if (has_own_report && entry.change_index > progress.acknowledged)
        {
            message.rows.push_back(entry.row);
        }
    }
    if (progress.record_revision < m_record.revision)
    {
        message.record = m_record;
    }
    self().last_heartbeat_at = now;
    return message;
}

void membership_view::merge(const member_row& row, ports::steady_time now)
{
    if (row.identity.incarnation == m_self)
    {
        // Other routers suspect this router, or hold a version from before a
        // message was lost. A higher version replaces both.
        bool is_suspected =
            !row.suspected_by.empty() && row.version >= self().row.version;
        if (is_suspected)
        {
            self().row.version = row.version;
            increment_own_version();
        }
        return;
    }
    member_entry& entry = m_members[row.identity.incarnation];
    if (row.version > entry.row.version)
    {
        entry.row = row;
        entry.version_raised_at = now;
        mark_changed(entry);
        return;
    }
    if (row.version < entry.row.version)
    {
        return;
    }
    for (const std::string& observer : row.suspected_by)
    {
        mark_suspected(entry, observer);
    }
}

void membership_view::mark_suspected(member_entry& entry,
                                     const std::string& observer)
{
    // Two observers make a member unreachable, so no more need be reported.
    constexpr std::size_t max_observers = 2;
    std::vector<std::string>& observers = entry.row.suspected_by;
    if (observers.size() < max_observers && !contains(observers, observer))
    {
        observers.push_back(observer);
        std::sort(observers.begin(), observers.end());
        mark_changed(entry);
    }
}

void membership_view::receive(const heartbeat& message, ports::steady_time now)
{
    for (const member_row& row : message.rows)
    {
        merge(row, now);
    }
    auto sender = m_members.find(message.sender);
    if (sender != m_members.end())
    {
        sender->second.last_heartbeat_at = now;
    }
    peer_progress& progress = m_progress[message.sender];
    progress.received = std::max(progress.received, message.index);
    progress.acknowledged = std::max(progress.acknowledged, message.received);
    progress.record_revision = message.record_revision;
    if (message.record)
    {
        update_record(*message.record);
    }
}

void membership_view::advance(ports::steady_time now)
{
    self().last_heartbeat_at = now;
    self().version_raised_at = now;
    if (now - m_refreshed_at >= m_limits.refresh_interval)
    {
        m_refreshed_at = now;
        increment_own_version();
    }
    erase_expired_members(now);
    update_peers(now);
    for (const std::string& peer : m_peers)
    {
        member_entry& entry = m_members.at(peer);
        bool is_overdue =
            now - entry.last_heartbeat_at >= m_limits.suspect_after;
        if (is_overdue && entry.row.version > 0)
        {
            mark_suspected(entry, m_self);
        }
    }
}

void membership_view::update_peers(ports::steady_time now)
{
    std::vector<std::string> ring;
    std::vector<std::string> unreachable;
    for (const auto& [incarnation, entry] : m_members)
    {
        bool is_stopped = entry.row.state == member_state::stopped;
        // A member known from its lease only must be contacted first.
        bool is_new = entry.row.version == 0;
        if (incarnation == m_self || is_new || !is_unreachable(entry, now))
        {
            ring.push_back(incarnation);
        }
        else if (!is_stopped)
        {
            unreachable.push_back(incarnation);
        }
    }
    std::vector<std::string> chosen =
        choose_peers(m_self, ring, m_limits.neighbours);
    std::set<std::string> peers(chosen.begin(), chosen.end());
    for (const std::string& peer : peers)
    {
        if (!m_peers.contains(peer))
        {
            // A new peer gets the full `suspect_after` for its first
            // heartbeat.
            m_members.at(peer).last_heartbeat_at = now;
        }
    }
    if (!unreachable.empty())
    {
        // Contacts one unreachable member a round, so that the sides of a
        // healed partition discover each other.
        peers.insert(unreachable[m_probe_round++ % unreachable.size()]);
    }
    m_peers = std::move(peers);
}

void membership_view::erase_expired_members(ports::steady_time now)
{
    std::erase_if(m_members,
                  [this, now](const auto& item)
                  {
                      const member_entry& entry = item.second;
                      bool is_new = entry.row.version == 0;
                      bool is_old =
                          now - entry.version_raised_at >= m_limits.retention;
                      return item.first != m_self && !entry.has_lease &&
                             (is_new || is_old) &&
                             !m_record.origins.contains(item.first);
                  });
}

std::vector<member> membership_view::peers() const
{
    std::vector<member> chosen;
    for (const std::string& peer : m_peers)
    {
        auto found = m_members.find(peer);
        if (found != m_members.end())
        {
            chosen.push_back(found->second.row.identity);
        }
    }
    return chosen;
}

bool membership_view::is_unreachable(const member_entry& entry,
                                     ports::steady_time now) const
{
    constexpr std::size_t required_observers = 2;
    if (entry.row.identity.incarnation == m_self)
    {
        return false;
    }
    const std::vector<std::string>& observers = entry.row.suspected_by;
    return entry.row.version == 0 || contains(observers, m_self) ||
           observers.size() >= required_observers ||
           now - entry.version_raised_at >= m_limits.stale_after;
}

bool membership_view::is_eligible(const member_entry& entry,
                                  ports::steady_time now) const
{
    if (entry.row.state != member_state::live || is_unreachable(entry, now))
    {
        return false;
    }
    auto vm = m_vms.find(entry.row.identity.vm);
    return vm == m_vms.end() || !vm->second.is_leaving;
}

membership_snapshot membership_view::snapshot(ports::steady_time now) const
{
    membership_snapshot current;
    current.self = m_self;
    current.record = m_record;
    current.taken_at = now;
    for (const auto& [incarnation, entry] : m_members)
    {
        current.members.push_back({entry.row, is_eligible(entry, now)});
        current.acknowledged[incarnation] = entry.row.acknowledged;
    }
    return current;
}

} // namespace turmeric::domain
