#include "libraries/drivers/fleet/spending_exchange.hpp"

#include <algorithm>
#include <optional>

namespace turmeric::drivers
{

namespace
{

using codecs::spending_message_kind;

/// The rows in one datagram.
constexpr std::size_t max_rows_per_message = 100;
constexpr std::chrono::milliseconds min_inquiry_interval{200};
constexpr std::chrono::milliseconds max_inquiry_interval{10'000};
/// A peer that confirms nothing for this time, although it was sent this number
/// of announcements, is no witness for a while.
constexpr std::chrono::milliseconds max_confirmation_delay{300};
constexpr int max_unconfirmed = 2;
constexpr std::chrono::milliseconds silent_period{2'000};

} // namespace

spending_exchange::spending_exchange(
    domain::spending_limits& limits, ports::datagram_link& link,
    const peer_table& peers, const ports::clock& clock, fleet_member self,
    std::function<void()> confirmed, report_function reported)
    : m_limits(limits)
    , m_link(link)
    , m_peers(peers)
    , m_clock(clock)
    , m_self(std::move(self))
    , m_confirmed(std::move(confirmed))
    , m_reported(std::move(reported))
    , m_inquiry_interval(min_inquiry_interval)
{
}

void spending_exchange::announce(
    const std::map<std::string, domain::spending_need>& needs)
{
    m_limits.set_peers(list_responsive_peers());
    for (const auto& [account, need] : needs)
    {
        m_limits.of(account).plan(need);
    }
    for (const std::string& witness : m_limits.list_receivers())
    {
        std::vector<codecs::spending_row> rows;
        for (const auto& [account, need] : needs)
        {
            domain::spending_limit& limit = m_limits.of(account);
            if (limit.is_announcement_due(witness))
            {
                rows.push_back(
                    {m_self.incarnation, account, limit.announced()});
            }
        }
        if (!rows.empty())
        {
            note_sent(witness);
            send_to(witness, spending_message_kind::announcement,
                    std::move(rows));
        }
    }
}

std::set<std::string> spending_exchange::list_responsive_peers()
{
    const ports::steady_time now = m_clock.steady_now();
    for (const auto& [witness, unconfirmed] : m_unconfirmed)
    {
        if (unconfirmed.sent >= max_unconfirmed &&
            now - unconfirmed.since >= max_confirmation_delay)
        {
            m_silent_since.insert_or_assign(witness, now);
        }
    }
    std::erase_if(m_unconfirmed, [this](const auto& entry)
                  { return m_silent_since.count(entry.first) > 0; });
    std::erase_if(m_silent_since, [now](const auto& entry)
                  { return now - entry.second >= silent_period; });
    std::set<std::string> peers = m_peers.live_peers(now);
    std::erase_if(peers, [this](const std::string& peer)
                  { return m_silent_since.count(peer) > 0; });
    return peers;
}

void spending_exchange::note_sent(const std::string& witness)
{
    const auto [unconfirmed, is_first] = m_unconfirmed.try_emplace(
        witness, unconfirmed_announcements{m_clock.steady_now(), 0});
    ++unconfirmed->second.sent;
}

void spending_exchange::inquire(
    const std::map<std::string,
                   std::vector<std::pair<std::string, std::string>>>& inquiries)
{
    const ports::steady_time now = m_clock.steady_now();
    if (inquiries.empty() || now - m_inquired_at < m_inquiry_interval)
    {
        return;
    }
    m_inquired_at = now;
    m_inquiry_interval = std::min(2 * m_inquiry_interval, max_inquiry_interval);
    for (const auto& [witness, subjects] : inquiries)
    {
        std::vector<codecs::spending_row> rows;
        for (const auto& [incarnation, account] : subjects)
        {
            rows.push_back({incarnation, account, {}});
        }
        send_to(witness, spending_message_kind::inquiry, std::move(rows));
    }
}

void spending_exchange::handle(const codecs::spending_message& message)
{
    switch (message.kind)
    {
    case spending_message_kind::announcement:
        remember(message);
        break;
    case spending_message_kind::confirmation:
        confirm(message);
        break;
    case spending_message_kind::inquiry:
        answer(message);
        break;
    case spending_message_kind::answer:
        for (const codecs::spending_row& row : message.rows)
        {
            m_reported(message.sender, row);
        }
        break;
    }
}

void spending_exchange::remember(const codecs::spending_message& message)
{
    std::vector<codecs::spending_row> remembered;
    for (const codecs::spending_row& row : message.rows)
    {
        if (m_witness.remember(row.incarnation, row.account, row.report))
        {
            remembered.push_back(row);
        }
    }
    send(message.reply_address, spending_message_kind::confirmation,
         std::move(remembered));
}

void spending_exchange::confirm(const codecs::spending_message& message)
{
    m_unconfirmed.erase(message.sender);
    m_silent_since.erase(message.sender);
    for (const codecs::spending_row& row : message.rows)
    {
        if (row.incarnation == m_self.incarnation)
        {
            m_limits.of(row.account).confirm(message.sender, row.report.limit);
        }
    }
    m_confirmed();
}

void spending_exchange::answer(const codecs::spending_message& message)
{
    std::vector<codecs::spending_row> known;
    for (const codecs::spending_row& row : message.rows)
    {
        const std::optional<domain::spending_report> report =
            m_witness.find(row.incarnation, row.account);
        if (report)
        {
            known.push_back({row.incarnation, row.account, *report});
        }
    }
    send(message.reply_address, spending_message_kind::answer,
         std::move(known));
}

void spending_exchange::forget_routers()
{
    m_witness.set_registered(m_peers.registered_peers(), m_clock.steady_now());
}

void spending_exchange::send_to(const std::string& router,
                                spending_message_kind kind,
                                std::vector<codecs::spending_row> rows)
{
    if (const std::optional<std::string> address = m_peers.address_of(router))
    {
        send(*address, kind, std::move(rows));
    }
}

void spending_exchange::send(const std::string& address,
                             spending_message_kind kind,
                             std::vector<codecs::spending_row> rows)
{
    codecs::spending_message message;
    message.kind = kind;
    message.sender = m_self.incarnation;
    message.reply_address = m_self.peer_address;
    for (codecs::spending_row& row : rows)
    {
        message.rows.push_back(std::move(row));
        if (message.rows.size() == max_rows_per_message)
        {
            m_link.send(address, codecs::write_spending_message(message));
            message.rows.clear();
        }
    }
    if (!message.rows.empty())
    {
        m_link.send(address, codecs::write_spending_message(message));
    }
}

} // namespace turmeric::drivers
