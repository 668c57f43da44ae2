#pragma once

#include "libraries/codecs/fleet/granted_totals_message.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/domain/prepaid/granted_totals.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"
#include "libraries/ports/store_era.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Exchanges the granted totals of accounts with the peers. Each router
/// announces a new total to a few peers before it spends the grant, so that the
/// total outlives the router. After a restore of the store, and after its own
/// start, a router collects what its peers know: the store may count less as
/// granted than it did. Used on the control thread only.
class total_exchange
{
public:
    /// `fence` is called when a peer reports a later era than this router
    /// knows. It must make the router accept no grants of changes that are
    /// under way, and read the store before the next one. Precondition: all but
    /// `self`, this router's incarnation, and `fence` outlive the exchange.
    total_exchange(domain::granted_totals& totals,
                   const ports::store_era_tracker& eras,
                   ports::datagram_link& link, const peer_table& peers,
                   const ports::clock& clock, logger& log, std::string self,
                   std::function<void()> fence);

    /// Requests what peers know that have not reported since the present era
    /// began, and ends the collection if none is left.
    void collect();

    /// Returns whether the totals of all peers that can be reached are known,
    /// so that records may be begun in the present era.
    [[nodiscard]] bool is_complete() const;

    /// Announces the totals of accounts that this router has changed.
    void announce(const std::vector<std::string>& accounts);

    /// Handles a peer's message.
    void handle(const codecs::granted_totals_message& message);

private:
    /// Begins to collect again if the era has changed.
    void follow_era();
    [[nodiscard]] std::set<std::string> list_missing_peers() const;
    void report_to(const std::string& peer);
    void send(const std::string& peer,
              const codecs::granted_totals_message& message);
    [[nodiscard]] codecs::granted_totals_message
    make_message(codecs::totals_message_kind kind) const;

    domain::granted_totals& m_totals;
    const ports::store_era_tracker& m_eras;
    ports::datagram_link& m_link;
    const peer_table& m_peers;
    const ports::clock& m_clock;
    logger& m_log;
    std::string m_self;
    std::function<void()> m_fence;
    /// The latest era that a peer has reported.
    ports::store_era m_reported_era = 0;
    /// The era for which totals are collected.
    ports::store_era m_era = 0;
    bool m_is_complete = false;
    ports::steady_time m_began_at;
    /// The collection does not end before this time.
    ports::steady_time m_earliest_end;
    ports::steady_time m_requested_at{};
    /// The parts of the reports of this era, by peer.
    std::map<std::string, std::set<std::int64_t>> m_parts;
    std::set<std::string> m_reported;
};

} // namespace turmeric::drivers
