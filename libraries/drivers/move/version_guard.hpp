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

/// Selects the version that serves each request of a router. It cuts a version
/// that this router's own evidence shows to be bad, and answers the evidence
/// requests of the leading controller. Thread safe.
class version_guard
{
public:
    /// Creates a guard without routes. `incarnation` identifies this process.
    /// Precondition: `clock` and `log` outlive it.
    version_guard(const domain::guard_settings& settings,
                  std::string incarnation, const ports::clock& clock,
                  logger& log);

    /// Replaces the routes by those in force and removes the moves of routes
    /// that no longer exist. Thread safe.
    void apply_routes(const std::vector<domain::route_declaration>& routes);

    /// Applies a move's state that was read from the store or received from a
    /// peer. An older state than the one in force is ignored. Thread safe.
    void apply_move_state(const domain::move_state& state);

    /// Removes the move of a route after its key was deleted from the store.
    /// Thread safe.
    void remove_move(const std::string& route);

    /// Returns the version for a request; empty when the route is unknown. A
    /// retry gets the same version unless the shares have changed. Thread safe.
    [[nodiscard]] std::string pick(const std::string& route,
                                   const std::string& request_id);

    /// Records the outcome of an attempt as evidence on a version. Call it once
    /// for each attempt, with the version that `pick` returned, but not for
    /// requests that the caller cancelled or that this router refused. Thread
    /// safe.
    void record(const std::string& route, const std::string& version,
                const domain::request_observation& observation);

    /// Returns the response to a peer message of kind "evidence", or the error
    /// of a malformed message. Thread safe.
    [[nodiscard]] result<std::string>
    handle_message(const ports::peer_message& message);

    /// Returns the versions' shares in force on a route; during a move, the new
    /// version comes first. Thread safe.
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
