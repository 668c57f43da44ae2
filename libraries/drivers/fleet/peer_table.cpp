#include "libraries/drivers/fleet/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// A router whose last digest is older is not listed to callers.
constexpr std::chrono::milliseconds max_report_age{1'300};
/// The load that a router has placed on upstreams, and its held and free
/// tokens, count for this long after its last digest.
constexpr std::chrono::milliseconds max_load_age{1'500};

} // namespace

peer_table::peer_table(fleet_member self)
    : m_self(std::move(self))
{
}

void peer_table::set_members(const std::vector<fleet_member>& members,
                             ports::steady_time now)
{
    std::map<std::string, fleet_member> next;
    for (const fleet_member& member : members)
    {
        next.emplace(member.incarnation, member);
        m_registered_at.try_emplace(member.incarnation, now);
    }
    m_members = std::move(next);
    std::erase_if(m_registered_at, [&](const auto& entry)
                  { return m_members.count(entry.first) == 0; });
}

void peer_table::apply_digest(codecs::peer_digest digest,
                              ports::steady_time now)
{
    if (digest.incarnation == m_self.incarnation)
    {
        return;
    }
    peer_state& peer = m_peers[digest.incarnation];
    if (peer.last_digest_at && digest.sequence <= peer.digest.sequence)
    {
        return;
    }
    if (digest.store_contact)
    {
        m_store_contact.add(*digest.store_contact);
    }
    peer.digest = std::move(digest);
    peer.last_digest_at = now;
}

ports::steady_time
peer_table::store_available_since(const domain::contact_record& own,
                                  ports::steady_time now) const
{
    domain::contact_record all = m_store_contact;
    if (const std::optional<domain::contact_span> span = own.latest())
    {
        all.add(*span);
    }
    return all.present_since(now);
}

std::vector<std::string> peer_table::peer_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [incarnation, member] : m_members)
    {
        if (incarnation != m_self.incarnation)
        {
            addresses.push_back(member.peer_address);
        }
    }
    return addresses;
}

bool peer_table::has_recent_report(const std::string& incarnation,
                                   ports::steady_time now) const
{
    const auto found = m_peers.find(incarnation);
    if (found != m_peers.end() && found->second.last_digest_at)
    {
        return now - *found->second.last_digest_at <= max_report_age;
    }
    const auto registered = m_registered_at.find(incarnation);
    return registered != m_registered_at.end() &&
           now - registered->second <= max_report_age;
}

std::int64_t peer_table::count_routers(ports::steady_time now) const
{
    std::int64_t count = 1;
    for (const auto& [incarnation, member] : m_members)
    {
        if (incarnation != m_self.incarnation &&
            has_recent_report(incarnation, now))
        {
            ++count;
        }
    }
    // A registered router that sends no digests may be cut off from this one
    // and still serve callers.
    return std::max<std::int64_t>(count,
                                  static_cast<std::int64_t>(m_members.size()));
}

fleet_view peer_table::view(ports::steady_time now) const
{
    fleet_view fleet;
    fleet.routers = count_routers(now);
    for (const auto& [incarnation, peer] : m_peers)
    {
        const bool is_recent =
            peer.last_digest_at && now - *peer.last_digest_at <= max_load_age;
        fleet.can_peer_reach_store =
            fleet.can_peer_reach_store ||
            (is_recent && !peer.digest.is_store_unavailable);
        for (const auto& [id, load] : peer.digest.load)
        {
            if (is_recent)
            {
                domain::upstream_load& sum = fleet.peer_load[id];
                sum.requests += load.requests;
                sum.unread_tokens += load.unread_tokens;
            }
        }
        for (const auto& [name, account] : peer.digest.accounts)
        {
            account_token_state& sum = fleet.accounts[name];
            // Tokens that a failed router held for requests were mostly not
            // consumed.
            sum.peers_spent += account.used + (is_recent ? account.held : 0);
            sum.peers_free += is_recent ? account.free : 0;
            sum.peers_tokens_per_second += is_recent ? account.rate : 0;
        }
    }
    fleet.peer_paths = list_paths(now);
    return fleet;
}

std::vector<peer_path> peer_table::list_paths(ports::steady_time now) const
{
    std::vector<peer_path> paths;
    for (const auto& [incarnation, peer] : m_peers)
    {
        const auto member = m_members.find(incarnation);
        const bool is_recent =
            peer.last_digest_at && now - *peer.last_digest_at <= max_report_age;
        if (member != m_members.end() && is_recent && !peer.digest.is_leaving &&
            !peer.digest.is_overloaded)
        {
            paths.push_back({member->second.caller_address,
                             member->second.data_centre,
                             peer.digest.cut_off_services});
        }
    }
    return paths;
}

std::vector<domain::entry_candidate>
peer_table::entry_candidates(bool is_self_leaving, bool is_self_overloaded,
                             ports::steady_time now) const
{
    std::vector<domain::entry_candidate> all;
    all.push_back({m_self.caller_address, m_self.data_centre, true,
                   is_self_leaving, true, m_self.capacity, is_self_overloaded});
    for (const auto& [incarnation, member] : m_members)
    {
        if (incarnation == m_self.incarnation)
        {
            continue;
        }
        const auto peer = m_peers.find(incarnation);
        const bool is_leaving =
            peer != m_peers.end() && peer->second.digest.is_leaving;
        all.push_back(
            {member.caller_address, member.data_centre, false, is_leaving,
             has_recent_report(incarnation, now), member.capacity,
             peer != m_peers.end() && peer->second.digest.is_overloaded});
    }
    return all;
}

std::set<std::string> peer_table::registered_peers() const
{
    std::set<std::string> registered;
    for (const auto& [incarnation, member] : m_members)
    {
        if (incarnation != m_self.incarnation)
        {
            registered.insert(incarnation);
        }
    }
    return registered;
}

std::set<std::string> peer_table::live_peers(ports::steady_time now) const
{
    std::set<std::string> live;
    for (const auto& [incarnation, member] : m_members)
    {
        const auto peer = m_peers.find(incarnation);
        const bool is_leaving =
            peer != m_peers.end() && peer->second.digest.is_leaving;
        if (incarnation != m_self.incarnation && !is_leaving &&
            has_recent_report(incarnation, now))
        {
            live.insert(incarnation);
        }
    }
    return live;
}

std::set<std::string>
peer_table::list_reachable(std::chrono::milliseconds max_silence,
                           ports::steady_time now) const
{
    std::set<std::string> reachable;
    for (const auto& [incarnation, registered_at] : m_registered_at)
    {
        if (incarnation != m_self.incarnation &&
            now - registered_at <= max_silence)
        {
            reachable.insert(incarnation);
        }
    }
    for (const auto& [incarnation, peer] : m_peers)
    {
        if (peer.last_digest_at && now - *peer.last_digest_at <= max_silence)
        {
            reachable.insert(incarnation);
        }
    }
    return reachable;
}

std::string peer_table::find_lender(const std::string& account,
                                    ports::steady_time now) const
{
    std::string best;
    std::int64_t most_free = 0;
    for (const auto& [incarnation, peer] : m_peers)
    {
        const auto member = m_members.find(incarnation);
        const auto reported = peer.digest.accounts.find(account);
        if (member == m_members.end() || !has_recent_report(incarnation, now) ||
            reported == peer.digest.accounts.end() ||
            reported->second.free <= most_free)
        {
            continue;
        }
        most_free = reported->second.free;
        best = incarnation;
    }
    return best;
}

std::optional<std::string>
peer_table::address_of(const std::string& incarnation) const
{
    const auto found = m_members.find(incarnation);
    if (found == m_members.end())
    {
        return std::nullopt;
    }
    return found->second.peer_address;
}

std::optional<std::string>
peer_table::find_newer_configuration(std::int64_t version,
                                     ports::steady_time now) const
{
    std::optional<std::string> best;
    std::int64_t best_version = version;
    for (const auto& [incarnation, peer] : m_peers)
    {
        const auto member = m_members.find(incarnation);
        if (member == m_members.end() || !has_recent_report(incarnation, now) ||
            peer.digest.configuration_version <= best_version)
        {
            continue;
        }
        best_version = peer.digest.configuration_version;
        best = member->second.peer_address;
    }
    return best;
}

} // namespace turmeric::drivers
