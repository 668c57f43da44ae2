#pragma once

#include "libraries/domain/move/evidence_message.hpp"
#include "libraries/drivers/move/move_driver_settings.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/peer.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The evidence on one move, summed over all routers.
struct fleet_evidence
{
    domain::tally_pair tally;
    domain::version_evidence from_evidence;
    /// Why a router cut the new version; empty when no router did.
    std::string cut_reason;
};

/// Requests evidence from the routers and sums their responses. The counts of
/// a router that has left the fleet stay in the sums. Thread safe.
class evidence_collector
{
public:
    /// Creates a collector without evidence. Precondition: `peers` and `clock`
    /// outlive it.
    evidence_collector(ports::peer_caller& peers, const ports::clock& clock,
                       const move_driver_settings& settings);

    /// Sends the request to each address and waits for the responses; a router
    /// that does not respond is skipped. Thread safe; blocks.
    void collect(const domain::evidence_request& request,
                 const std::vector<std::string>& addresses);

    /// Returns the sums for the move with this identity. Thread safe.
    [[nodiscard]] fleet_evidence evidence_of(std::uint64_t identity) const;

    /// Returns whether at least `min_fresh_fraction` of these addresses
    /// responded within `max_evidence_age`; false when none did. Thread safe.
    [[nodiscard]] bool
    is_fresh(const std::vector<std::string>& addresses) const;

    /// Discards the evidence on all moves. Thread safe.
    void clear();

private:
    void request_evidence(const std::string& address, const std::string& body);

    ports::peer_caller& m_peers;
    const ports::clock& m_clock;
    const move_driver_settings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, ports::steady_time> m_responded_at;
    /// By the move's identity, then by the router's incarnation.
    std::map<std::uint64_t, std::map<std::string, domain::evidence_report>>
        m_reports;
};

} // namespace turmeric::drivers
