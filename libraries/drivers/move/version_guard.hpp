#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/move/evidence_message.hpp"
#include "libraries/domain/move/guard_settings.hpp"
#include "libraries/domain/move/move_guard.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/peer.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// What a router asks for each request: which version serves it. Cuts bad
/// versions on this router's own evidence and answers the leading
/// controller's evidence messages. Thread safe.
class version_guard
{
public:
    /// Makes a guard that knows no route. `incarnation` names this process.
    /// Precondition: `clock` and `log` outlive it.
    version_guard(const domain::guard_settings& settings,
                  std::string incarnation, const ports::clock& clock,
                  logger& log);

    /// Takes the routes in force. Moves whose route is gone are forgotten.
    /// Thread safe.
    void apply_routes(const std::vector<domain::route_declaration>& routes);

    /// Takes one move's state as read from the store or from a peer; older
    /// ones are ignored. Thread safe.
    void apply_move_state(const domain::move_state& state);

    /// Forgets the move of a route, whose key was deleted. Thread safe.
    void remove_move(const std::string& route);

    /// Returns the version for a request, the same for each retry unless
    /// shares changed; empty when the route is unknown. Thread safe.
    [[nodiscard]] std::string pick(const std::string& route,
                                   const std::string& request_id);

    /// Counts a request that a version ended. Call it once for each dispatch,
    /// with the version that `pick` gave; requests that the caller cancelled
    /// and refusals of this router are not to be counted. Thread safe.
    void record(const std::string& route, const std::string& version,
                const domain::request_observation& observation);

    /// Answers a peer message of kind "evidence". Thread safe.
    [[nodiscard]] result<std::string>
    answer(const ports::peer_message& message);

    /// Returns the shares in force on a route, the new version's first while
    /// a move is on. Thread safe.
    [[nodiscard]] std::vector<domain::version_share>
    shares(const std::string& route);

private:
    [[nodiscard]] std::vector<domain::version_share>
    shares_locked(const std::string& route) const;
    [[nodiscard]] domain::evidence_report
    report_locked(const domain::evidence_question& question,
                  const domain::move_guard& guard) const;

    const domain::guard_settings m_settings;
    const std::string m_incarnation;
    const ports::clock& m_clock;
    logger& m_log;
    std::mutex m_mutex;
    std::map<std::string, std::vector<domain::version_share>> m_routes;
    std::map<std::string, domain::move_guard> m_moves;
};

} // namespace turmeric::drivers
