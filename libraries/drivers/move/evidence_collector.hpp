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

/// What the fleet knows of one move.
struct fleet_evidence
{
    domain::tally_pair tally;
    domain::version_evidence from_evidence;
    /// Why a router cut the new version; empty when none did.
    std::string cut_reason;
};

/// Asks routers for evidence and adds their answers up. Counts of a router
/// that went away stay counted. Thread safe.
class evidence_collector
{
public:
    /// Makes a collector that knows nothing. Precondition: `peers` and
    /// `clock` outlive it.
    evidence_collector(ports::peer_caller& peers, const ports::clock& clock,
                       const move_driver_settings& settings);

    /// Asks each address and waits for the answers. Thread safe; blocks.
    void collect(const domain::evidence_request& request,
                 const std::vector<std::string>& addresses);

    /// Returns the sums for one move. Thread safe.
    [[nodiscard]] fleet_evidence evidence_of(std::uint64_t identity) const;

    /// Tells whether nearly all of these addresses answered lately; false
    /// for none. Thread safe.
    [[nodiscard]] bool
    is_fresh(const std::vector<std::string>& addresses) const;

    /// Drops what is known of all moves. Thread safe.
    void clear();

private:
    void request_evidence(const std::string& address, const std::string& body);

    ports::peer_caller& m_peers;
    const ports::clock& m_clock;
    const move_driver_settings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, ports::steady_time> m_responded_at;
    /// By move, then by the router's incarnation.
    std::map<std::uint64_t, std::map<std::string, domain::evidence_report>>
        m_reports;
};

} // namespace turmeric::drivers
