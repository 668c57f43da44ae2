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
    , m_refreshed(now)
{
    known_member& entry = m_members[m_self];
    entry.row.who = self;
    entry.row.version = 1;
    entry.heard = now;
    entry.raised = now;
    touch(entry);
}

membership_view::known_member& membership_view::self()
{
    return m_members.at(m_self);
}

void membership_view::touch(known_member& entry)
{
    entry.changed = ++m_changes;
}

void membership_view::raise_self()
{
    known_member& entry = self();
    ++entry.row.version;
    entry.row.silent_to.clear();
    touch(entry);
}

void membership_view::set_state(member_state state)
{
    if (state > self().row.state)
    {
        self().row.state = state;
        raise_self();
    }
}

void membership_view::set_share(std::int64_t share)
{
    if (share != self().row.share)
    {
        self().row.share = share;
        raise_self();
    }
}

void membership_view::set_load(std::int64_t load, ports::steady_time now)
{
    constexpr std::int64_t steps = 8;
    member_row& row = self().row;
    std::int64_t step = std::max<std::int64_t>(row.share / steps, 1);
    bool is_early = m_load_told && now - *m_load_told < m_limits.load_pause;
    if (is_early || std::abs(load - row.load) < step)
    {
        return;
    }
    row.load = load;
    m_load_told = now;
    raise_self();
}

void membership_view::set_acknowledged(epoch_number number)
{
    if (number > self().row.acknowledged)
    {
        self().row.acknowledged = number;
        raise_self();
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
        raise_self();
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
            m_members.try_emplace(listed.incarnation, known_member{});
        found->second.has_lease = true;
        if (is_new)
        {
            // Version 0 gives way to whatever the member says of itself.
            found->second.row.who = listed;
            found->second.raised = now;
            touch(found->second);
        }
    }
    m_leases_read = now;
}

void membership_view::update_vms(const std::vector<ports::vm_entry>& vms,
                                 ports::steady_time now)
{
    for (auto& [vm, sighting] : m_vms)
    {
        sighting.is_listed = false;
    }
    for (const ports::vm_entry& listed : vms)
    {
        vm_sighting& sighting = m_vms[listed.vm];
        sighting.is_listed = true;
        sighting.is_leaving = listed.state == ports::vm_state::leaving;
        sighting.seen = now;
    }
    for (const auto& [incarnation, entry] : m_members)
    {
        m_vms.try_emplace(entry.row.who.vm, vm_sighting{.seen = now});
    }
    for (const auto& [incarnation, origin] : m_record.origins)
    {
        m_vms.try_emplace(origin.vm, vm_sighting{.seen = now});
    }
    m_vms_read = now;
}

void membership_view::update_record(const epoch_record& record)
{
    if (record.revision > m_record.revision)
    {
        m_record = record;
        m_lagging_since.reset();
    }
}

heartbeat membership_view::make_heartbeat(const std::string& receiver,
                                          ports::steady_time now)
{
    peer_progress& progress = m_progress[receiver];
    heartbeat message;
    message.sender = m_self;
    message.index = m_changes;
    message.received = progress.received;
    message.record_revision = m_record.revision;
    for (const auto& [incarnation, entry] : m_members)
    {
        bool is_known_by_itself = entry.row.version > 0;
        if (is_known_by_itself && entry.changed > progress.acknowledged)
        {
            message.rows.push_back(entry.row);
        }
    }
    if (progress.record_revision < m_record.revision)
    {
        message.record = m_record;
    }
    self().heard = now;
    return message;
}

void membership_view::merge(const member_row& row, ports::steady_time now)
{
    if (row.who.incarnation == m_self)
    {
        // Others call this router silent, or know a version from before a
        // message was lost; a higher version puts it right.
        bool is_doubted =
            !row.silent_to.empty() && row.version >= self().row.version;
        if (is_doubted)
        {
            self().row.version = row.version;
            raise_self();
        }
        return;
    }
    known_member& entry = m_members[row.who.incarnation];
    if (row.version > entry.row.version)
    {
        entry.row = row;
        entry.raised = now;
        touch(entry);
        return;
    }
    if (row.version < entry.row.version)
    {
        return;
    }
    for (const std::string& observer : row.silent_to)
    {
        mark_silent(entry, observer);
    }
}

void membership_view::mark_silent(known_member& entry,
                                  const std::string& observer)
{
    // Two are enough to convince, so more need not be passed on.
    constexpr std::size_t most_observers = 2;
    std::vector<std::string>& observers = entry.row.silent_to;
    if (observers.size() < most_observers && !contains(observers, observer))
    {
        observers.push_back(observer);
        std::sort(observers.begin(), observers.end());
        touch(entry);
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
        sender->second.heard = now;
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
    self().heard = now;
    self().raised = now;
    if (now - m_refreshed >= m_limits.refresh)
    {
        m_refreshed = now;
        raise_self();
    }
    forget(now);
    choose_ring(now);
    for (const std::string& peer : m_peers)
    {
        known_member& entry = m_members.at(peer);
        bool is_quiet = now - entry.heard >= m_limits.silent_after;
        if (is_quiet && entry.row.version > 0)
        {
            mark_silent(entry, m_self);
        }
    }
}

void membership_view::choose_ring(ports::steady_time now)
{
    std::vector<std::string> ring;
    std::vector<std::string> silent;
    for (const auto& [incarnation, entry] : m_members)
    {
        bool is_stopped = entry.row.state == member_state::stopped;
        // A member known from its lease alone is to be heard first.
        bool is_new = entry.row.version == 0;
        if (incarnation == m_self || is_new || !is_silent(entry, now))
        {
            ring.push_back(incarnation);
        }
        else if (!is_stopped)
        {
            silent.push_back(incarnation);
        }
    }
    std::vector<std::string> chosen =
        choose_peers(m_self, ring, m_limits.neighbours);
    std::set<std::string> peers(chosen.begin(), chosen.end());
    for (const std::string& peer : peers)
    {
        if (!m_peers.contains(peer))
        {
            // A new peer gets the whole time before it counts as silent.
            m_members.at(peer).heard = now;
        }
    }
    if (!silent.empty())
    {
        // One silent member a round is tried, so that the sides of a mended
        // partition find each other.
        peers.insert(silent[m_round++ % silent.size()]);
    }
    m_peers = std::move(peers);
}

void membership_view::forget(ports::steady_time now)
{
    std::erase_if(m_members,
                  [this, now](const auto& item)
                  {
                      const known_member& entry = item.second;
                      bool is_new = entry.row.version == 0;
                      bool is_old = now - entry.raised >= m_limits.forget_after;
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
            chosen.push_back(found->second.row.who);
        }
    }
    return chosen;
}

bool membership_view::is_silent(const known_member& entry,
                                ports::steady_time now) const
{
    constexpr std::size_t convincing = 2;
    if (entry.row.who.incarnation == m_self)
    {
        return false;
    }
    const std::vector<std::string>& observers = entry.row.silent_to;
    return entry.row.version == 0 || contains(observers, m_self) ||
           observers.size() >= convincing ||
           now - entry.raised >= m_limits.stale_after;
}

bool membership_view::is_located(const known_member& entry,
                                 ports::steady_time now) const
{
    if (entry.row.state != member_state::live || is_silent(entry, now))
    {
        return false;
    }
    auto vm = m_vms.find(entry.row.who.vm);
    return vm == m_vms.end() || !vm->second.is_leaving;
}

membership_snapshot membership_view::snapshot(ports::steady_time now) const
{
    membership_snapshot made;
    made.self = m_self;
    made.record = m_record;
    made.taken = now;
    for (const auto& [incarnation, entry] : m_members)
    {
        made.members.push_back({entry.row, is_located(entry, now)});
        made.acknowledged[incarnation] = entry.row.acknowledged;
    }
    return made;
}

} // namespace turmeric::domain
