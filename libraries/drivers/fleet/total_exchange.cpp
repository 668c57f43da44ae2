#include "libraries/drivers/fleet/total_exchange.hpp"

#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// A peer that has sent no digest for longer is not waited for.
constexpr std::chrono::milliseconds max_peer_silence{3'000};
/// The interval between requests to peers that have not reported.
constexpr std::chrono::milliseconds request_interval{200};
/// The number of peers that learn of a grant before it is spent. One of them
/// must outlive the others for the grant to be known after a restore.
constexpr std::size_t announcement_receivers = 8;
/// The totals in one datagram.
constexpr std::size_t max_totals_per_part = 200;

} // namespace

total_exchange::total_exchange(domain::granted_totals& totals,
                               const ports::store_era_tracker& eras,
                               ports::datagram_link& link,
                               const peer_table& peers,
                               const ports::clock& clock, logger& log,
                               std::string self, std::function<void()> fence)
    : m_totals(totals)
    , m_eras(eras)
    , m_link(link)
    , m_peers(peers)
    , m_clock(clock)
    , m_log(log)
    , m_self(std::move(self))
    , m_fence(std::move(fence))
{
}

void total_exchange::follow_era()
{
    if (m_era == m_eras.current())
    {
        return;
    }
    const bool has_known_peers = m_era != 0;
    m_era = m_eras.current();
    m_is_complete = false;
    m_began_at = m_clock.steady_now();
    // A router that has just started does not know its peers yet.
    m_earliest_end =
        has_known_peers ? m_began_at : m_began_at + max_peer_silence;
    m_requested_at = {};
    m_parts.clear();
    m_reported.clear();
}

std::set<std::string> total_exchange::list_missing_peers() const
{
    std::set<std::string> missing =
        m_peers.list_reachable(max_peer_silence, m_clock.steady_now());
    std::erase_if(missing, [this](const std::string& peer)
                  { return m_reported.count(peer) > 0; });
    return missing;
}

void total_exchange::collect()
{
    follow_era();
    if (m_is_complete)
    {
        return;
    }
    const ports::steady_time now = m_clock.steady_now();
    const std::set<std::string> missing = list_missing_peers();
    // The first router of a new fleet has no peers to wait for.
    const bool is_alone = m_reported.empty() && m_totals.all().empty();
    if (missing.empty() && (is_alone || now >= m_earliest_end))
    {
        m_is_complete = true;
        m_log.write(log_level::info, log_event::totals_collected,
                    {{"era", m_era},
                     {"peers", static_cast<std::int64_t>(m_reported.size())},
                     {"duration_ms",
                      static_cast<std::int64_t>(
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              now - m_began_at)
                              .count())}});
        return;
    }
    if (now - m_requested_at < request_interval)
    {
        return;
    }
    m_requested_at = now;
    for (const std::string& peer : missing)
    {
        send(peer, make_message(codecs::totals_message_kind::request));
    }
}

bool total_exchange::is_complete() const
{
    // A store without eras is never restored.
    return m_eras.current() == 0 ||
           (m_is_complete && m_era == m_eras.current());
}

void total_exchange::announce(const std::vector<std::string>& accounts)
{
    if (m_eras.current() == 0)
    {
        return;
    }
    codecs::granted_totals_message message =
        make_message(codecs::totals_message_kind::announcement);
    for (const std::string& account : accounts)
    {
        if (const auto total = m_totals.find(account))
        {
            message.totals.emplace_back(account, *total);
        }
    }
    const std::set<std::string> live = m_peers.live_peers(m_clock.steady_now());
    std::vector<std::string> receivers(live.begin(), live.end());
    if (receivers.empty())
    {
        return;
    }
    // Each router prefers other peers, so that their messages are spread.
    const std::size_t first = domain::digest_of(m_self) % receivers.size();
    std::rotate(receivers.begin(),
                receivers.begin() + static_cast<std::ptrdiff_t>(first),
                receivers.end());
    receivers.resize(std::min(receivers.size(), announcement_receivers));
    for (const std::string& peer : receivers)
    {
        send(peer, message);
    }
}

void total_exchange::handle(const codecs::granted_totals_message& message)
{
    follow_era();
    if (message.era > std::max(m_era, m_reported_era))
    {
        m_reported_era = message.era;
        m_fence();
    }
    for (const auto& [account, total] : message.totals)
    {
        m_totals.merge(account, total);
    }
    if (message.kind == codecs::totals_message_kind::request)
    {
        report_to(message.sender);
    }
    // A peer that does not know of the restore may still obtain grants.
    if (message.kind == codecs::totals_message_kind::report &&
        message.era >= m_era)
    {
        std::set<std::int64_t>& parts = m_parts[message.sender];
        parts.insert(message.part);
        if (static_cast<std::int64_t>(parts.size()) >= message.parts)
        {
            m_reported.insert(message.sender);
            m_totals.add_known_era(message.known_since);
        }
    }
}

void total_exchange::report_to(const std::string& peer)
{
    codecs::granted_totals_message message =
        make_message(codecs::totals_message_kind::report);
    const std::size_t count = m_totals.all().size();
    message.parts = static_cast<std::int64_t>(std::max<std::size_t>(
        1, (count + max_totals_per_part - 1) / max_totals_per_part));
    for (const auto& [account, total] : m_totals.all())
    {
        message.totals.emplace_back(account, total);
        if (message.totals.size() == max_totals_per_part)
        {
            send(peer, message);
            ++message.part;
            message.totals.clear();
        }
    }
    if (message.part < message.parts)
    {
        send(peer, message);
    }
}

void total_exchange::send(const std::string& peer,
                          const codecs::granted_totals_message& message)
{
    if (const std::optional<std::string> address = m_peers.address_of(peer))
    {
        m_link.send(*address, codecs::write_totals_message(message));
    }
}

codecs::granted_totals_message
total_exchange::make_message(codecs::totals_message_kind kind) const
{
    codecs::granted_totals_message message;
    message.kind = kind;
    message.sender = m_self;
    message.era = std::max(m_eras.current(), m_reported_era);
    message.known_since = m_totals.known_since();
    return message;
}

} // namespace turmeric::drivers
