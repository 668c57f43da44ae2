#pragma once

#include "libraries/domain/move/version_tally.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/random_source.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::domain
{

/// How a service's requests are divided between a new version of its upstreams
/// and the others.
struct service_split
{
    std::string service;
    std::string to_version;
    /// Identifies the move.
    std::uint64_t identity = 0;
    /// The new version's share of the requests, in parts per million.
    std::int32_t share = 0;
    /// Requests that the new version gets from this router at the start, beyond
    /// its share.
    double first_requests = 0;

    bool operator==(const service_split&) const = default;
};

/// The versions that may serve a request.
struct version_choice
{
    /// The only version; empty if there is no such limit.
    std::string only;
    /// A version that may not serve the request; empty if there is none.
    std::string excluded;
};

/// The outcome of one request that was sent to an upstream.
struct version_outcome
{
    std::string service;
    std::string version;
    /// Of the upstream; see `incarnation_of`.
    std::uint64_t incarnation = 0;
    std::string route;
    /// Nothing if the request was given up before it had succeeded or failed.
    std::optional<bool> is_failure;
    /// The time to the first output, or to the complete response of a plain
    /// service, divided by the predicted one where there is a prediction.
    std::optional<double> relative_time;
};

/// What one router has seen of a move: the outcomes of both versions, by route.
struct move_report
{
    std::uint64_t identity = 0;
    std::map<std::string, tally_pair> routes;

    bool operator==(const move_report&) const = default;
};

/// Divides the requests of one router between the versions of services that are
/// moved, and counts the outcomes of both. While a new version has a small
/// share, the routes get it in turn, so that one with few requests shows its
/// failures as well. Not thread safe.
class version_split
{
public:
    /// Sets the present moves; keeps the counts of those that go on.
    void set_splits(const std::vector<service_split>& splits,
                    ports::random_source& random);

    /// Sets the registered upstreams.
    void set_upstreams(const std::vector<upstream_entry>& entries,
                       ports::steady_time now);

    /// Returns the versions that may serve a request which is not to try a new
    /// version out.
    [[nodiscard]] version_choice
    regular_choice(const std::string& service) const;

    /// Returns the new version if the next request of the route is to try it
    /// out.
    [[nodiscard]] std::optional<std::string>
    trial_version(const std::string& service, const std::string& route) const;

    /// Records that a request was sent to an upstream of `version`.
    void record_sent(const std::string& service, const std::string& version,
                     const std::string& route);

    /// Records an outcome. Returns whether it speaks against the new version of
    /// a move.
    bool record(const version_outcome& outcome, ports::steady_time now);

    /// Returns the counts of all moves.
    [[nodiscard]] std::vector<move_report> report() const;

private:
    struct route_counts
    {
        std::int64_t sent_to_new = 0;
        tally_pair tally;
    };

    struct split_state
    {
        service_split split;
        /// Requests that the new version may get now.
        double credit = 0;
        std::int64_t sent_to_new = 0;
        std::map<std::string, route_counts> routes;
    };

    /// The mean relative time of the versions that are not tried out.
    struct usual_time
    {
        double mean = 0;
        std::int64_t count = 0;
    };

    [[nodiscard]] const split_state* find(const std::string& service) const;
    [[nodiscard]] bool has_serving(const std::string& service,
                                   const std::string& version) const;
    /// Returns whether a relative time is long for the route; nothing while too
    /// few requests were seen.
    [[nodiscard]] std::optional<bool> is_slow(const version_outcome& outcome,
                                              ports::steady_time now) const;
    void record_usual(const version_outcome& outcome);
    /// Returns the counts of a route, or those of all routes beyond a limit.
    static route_counts& counts_of(split_state& state,
                                   const std::string& route);

    /// By service.
    std::map<std::string, split_state> m_splits;
    std::set<std::pair<std::string, std::string>> m_serving_versions;
    /// Until when an upstream that has started is slow, by incarnation.
    std::map<std::uint64_t, ports::steady_time> m_cold_until;
    /// By service and route.
    std::map<std::pair<std::string, std::string>, usual_time> m_usual_times;
};

} // namespace turmeric::domain
