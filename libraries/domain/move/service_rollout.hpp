#pragma once

#include "libraries/domain/move/move_state_machine.hpp"
#include "libraries/domain/move/rollout_order.hpp"
#include "libraries/domain/move/version_judge.hpp"
#include "libraries/domain/move/version_split.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmeric::domain
{

/// How ordered moves advance and are judged.
struct rollout_settings
{
    /// The new version's first share of the requests, in parts per million.
    std::int32_t first_share = 40'000;
    /// Requests that the new version gets from the whole fleet at the start,
    /// beyond its share, so that a failure shows soon. They arrive at the same
    /// time, so that many of them would make its upstreams slow.
    double first_requests = 5;
};

/// What the next transition of an ordered move depends on, beside the reports.
struct rollout_input
{
    ports::steady_time now;
    /// Routers that serve, including this one.
    std::size_t routers = 1;
    /// How often each router reports.
    std::chrono::milliseconds report_interval{200};
    /// Whether enough upstreams of the new version serve to take all requests.
    bool is_version_ready = false;
    /// Whether one upstream of the new version serves.
    bool is_version_started = false;
    /// Whether no request runs on the old version any more.
    bool is_old_version_idle = false;
};

/// A move of a service's requests to another version, as one router sees it:
/// the state of the move, and what all routers have reported of both versions.
/// Every router that gets the reports finds a bad version by itself and gives
/// it no more requests; one of them stores the transitions. Not thread safe.
class service_rollout
{
public:
    /// Starts to follow an order that was first seen at `seen_at`.
    service_rollout(const rollout_settings& settings, rollout_order order,
                    ports::steady_time seen_at);

    [[nodiscard]] const rollout_order& order() const;
    [[nodiscard]] const move_state& state() const;

    /// Returns how long ago the order was given.
    [[nodiscard]] std::chrono::milliseconds
    elapsed(ports::steady_time now) const;

    /// Adopts a state that was stored, or that a peer has read. One of another
    /// move or with a lower sequence number is ignored.
    void apply(const move_state& state);

    /// Applies what a peer says of the order's age: routers that have just
    /// started learn it so.
    void apply_elapsed(std::chrono::milliseconds elapsed,
                       ports::steady_time now);

    /// Gives the new version no more requests: `reason`, if it is not empty, is
    /// why a router has found it bad.
    void cut(const std::string& reason);

    /// Returns why the version was found bad; empty if it was not.
    [[nodiscard]] const std::string& cut_reason() const;

    /// Replaces the counts of a router, which grow as long as it runs.
    void record(const std::string& router, const move_report& report,
                ports::steady_time now);

    /// Returns the counts of a router, or none if it has not reported.
    [[nodiscard]] move_report report_of(const std::string& router) const;

    /// Judges the new version by all counts, and cuts it if it is bad.
    void judge(ports::steady_time now);

    /// Returns the next state, which is to be stored; nothing if the state does
    /// not change now.
    [[nodiscard]] std::optional<move_state>
    next(const rollout_input& input) const;

    /// Returns how this router is to divide the service's requests.
    [[nodiscard]] service_split split(std::size_t routers) const;

    /// Returns the sum of the counts of all routers and routes.
    [[nodiscard]] tally_pair total() const;

private:
    struct router_report
    {
        move_report report;
        ports::steady_time at;
    };

    [[nodiscard]] std::map<std::string, tally_pair> sum_by_route() const;
    /// Returns the judge of a route, or of all of them for an empty name.
    version_judge& judge_of(const std::string& route);
    [[nodiscard]] bool has_fresh_evidence(const rollout_input& input) const;
    /// Returns whether the new version got enough requests to be trusted.
    [[nodiscard]] bool has_enough_requests() const;
    [[nodiscard]] bool may_advance(const rollout_input& input) const;

    rollout_settings m_settings;
    rollout_order m_order;
    move_declaration m_declared;
    move_state_machine m_machine;
    move_state m_state;
    ports::steady_time m_started_at;
    std::string m_cut_reason;
    /// By incarnation. Those of routers that have ended still count.
    std::map<std::string, router_report> m_reports;
    std::map<std::string, version_judge> m_judges;
    version_verdict m_verdict;
    std::optional<ports::steady_time> m_window_started_at;
};

} // namespace turmeric::domain
