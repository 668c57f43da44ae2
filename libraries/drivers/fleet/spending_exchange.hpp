#pragma once

#include "libraries/codecs/fleet/spending_message.hpp"
#include "libraries/domain/prepaid/spending_limits.hpp"
#include "libraries/domain/prepaid/spending_witness.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::drivers
{

/// Announces to witnesses what this router is about to spend, remembers what
/// others announce, and asks witnesses for what earlier incarnations on this VM
/// have announced. Lost messages are sent again. Used on the control thread
/// only.
class spending_exchange
{
public:
    using report_function = std::function<void(
        const std::string& witness, const codecs::spending_row& row)>;

    /// Calls `confirmed` after witnesses have confirmed announcements, and
    /// `reported` for each row that a witness tells of an earlier incarnation.
    /// Precondition: the limits, the link, the peers and the clock outlive the
    /// exchange.
    spending_exchange(domain::spending_limits& limits,
                      ports::datagram_link& link, const peer_table& peers,
                      const ports::clock& clock, fleet_member self,
                      std::function<void()> confirmed,
                      report_function reported);

    /// Announces the spending of accounts where the witnesses have not
    /// confirmed enough.
    void announce(const std::map<std::string, domain::spending_need>& needs);

    /// Asks each witness for the spending of incarnations of accounts, at
    /// growing intervals.
    void
    inquire(const std::map<std::string,
                           std::vector<std::pair<std::string, std::string>>>&
                inquiries);

    /// Handles a peer's message.
    void handle(const codecs::spending_message& message);

    /// Forgets routers that have not been registered for long.
    void forget_routers();

private:
    /// Announcements that a witness has not confirmed yet.
    struct unconfirmed_announcements
    {
        ports::steady_time since;
        int sent = 0;
    };

    /// Returns the peers that can be witnesses.
    [[nodiscard]] std::set<std::string> list_responsive_peers();
    void note_sent(const std::string& witness);
    void remember(const codecs::spending_message& message);
    void confirm(const codecs::spending_message& message);
    void answer(const codecs::spending_message& message);
    void send(const std::string& address, codecs::spending_message_kind kind,
              std::vector<codecs::spending_row> rows);
    void send_to(const std::string& router, codecs::spending_message_kind kind,
                 std::vector<codecs::spending_row> rows);

    domain::spending_limits& m_limits;
    ports::datagram_link& m_link;
    const peer_table& m_peers;
    const ports::clock& m_clock;
    fleet_member m_self;
    std::function<void()> m_confirmed;
    report_function m_reported;
    domain::spending_witness m_witness;
    /// By witness.
    std::map<std::string, unconfirmed_announcements> m_unconfirmed;
    /// When a peer was found not to confirm.
    std::map<std::string, ports::steady_time> m_silent_since;
    std::chrono::milliseconds m_inquiry_interval;
    ports::steady_time m_inquired_at{};
};

} // namespace turmeric::drivers
