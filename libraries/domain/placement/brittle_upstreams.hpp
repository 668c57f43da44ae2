#pragma once

#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::domain
{

/// What a router saw of an upstream that may be brittle.
struct brittle_observation
{
    /// As returned by `incarnation_of`.
    std::uint64_t incarnation = 0;
    /// How many requests in a second the upstream can turn away without
    /// falling over; nothing once it does not say that it is brittle.
    std::optional<std::int64_t> max_rejections;
    /// When a response said so.
    ports::steady_time observed_at;
    /// When the upstream last turned a request away while it was brittle.
    std::optional<ports::steady_time> rejected_at;
};

/// Keeps the requests that the routers together send to brittle upstreams so
/// few that these hardly turn any away.
///
/// As long as a brittle upstream turns nothing away, it is used as any other.
/// After it did, no router sends it anything for a short time; then, for a time
/// that grows with further refusals, each router has only its share of the
/// slots. All slots of the service's upstreams are dealt
/// to the routers in turn, so routers with the same lists of routers and
/// upstreams agree on the shares without a message. Not thread safe.
class brittle_upstreams
{
public:
    /// Sets the routers of the fleet. Called regularly, since observations that
    /// are not repeated expire.
    void set_routers(const router_ranking& routers, ports::steady_time now);

    /// Sets the upstreams, and forgets all others.
    void set_upstreams(const std::vector<upstream_entry>& entries,
                       ports::steady_time now);

    /// Records that a response says that its upstream is brittle, or that it
    /// does not say so. A response to a request that was sent before the last
    /// observation ends nothing. Returns whether this has changed.
    bool record_response(std::uint64_t incarnation,
                         std::optional<std::int64_t> max_rejections,
                         ports::steady_time sent_at, ports::steady_time now);

    /// Records that an upstream turned a request away. Returns whether the
    /// upstream is brittle, so that the peers must learn of it at once.
    bool record_rejection(std::uint64_t incarnation, ports::steady_time now);

    /// Adds what peers observed.
    void merge(const std::vector<brittle_observation>& observed,
               ports::steady_time now);

    /// Returns until when this router may send nothing to an upstream; nothing
    /// if it may now.
    [[nodiscard]] std::optional<ports::steady_time>
    closed_until(std::uint64_t incarnation, ports::steady_time now) const;

    /// Returns this router's share of the slots of a brittle upstream; nothing
    /// if it is not brittle.
    [[nodiscard]] std::optional<std::int64_t>
    own_share(std::uint64_t incarnation) const;

    /// Returns whether each router must keep within its share now.
    [[nodiscard]] bool is_restricted(std::uint64_t incarnation,
                                     ports::steady_time now) const;

    /// Returns when the next upstream opens for this router, or nothing if none
    /// is closed.
    [[nodiscard]] std::optional<ports::steady_time>
    next_opening(ports::steady_time now) const;

    /// Returns what this router has observed lately, for its peers.
    [[nodiscard]] std::vector<brittle_observation>
    report(ports::steady_time now) const;

private:
    struct upstream_state
    {
        brittle_observation seen;
        /// Whether this router has seen the last response itself.
        bool is_own_observation = false;
        bool is_own_rejection = false;
        /// Refusals that came soon after the one before, and those of them that
        /// came although the routers kept to their shares.
        std::int32_t repeated_rejections = 0;
        std::int32_t rejections_within_shares = 0;
        std::string service;
        std::int32_t slots = 0;
        /// This router's share of the slots.
        std::int64_t share = 0;
    };

    void deal_slots();
    void update_services(ports::steady_time now);
    void apply_rejection(upstream_state& state, ports::steady_time at,
                         bool is_own);
    /// Returns the smallest number that an upstream of a service says, or
    /// nothing if none is brittle. A service's upstreams are brittle together.
    [[nodiscard]] std::optional<std::int64_t>
    max_rejections_of(const std::string& service) const;
    /// Returns until when no router sends, and until when each has its share
    /// only. Precondition: the upstream has turned a request away.
    [[nodiscard]] std::pair<ports::steady_time, ports::steady_time>
    restriction_of(const upstream_state& state,
                   std::int64_t max_rejections) const;

    router_ranking m_routers;
    std::map<std::uint64_t, upstream_state> m_upstreams;
    /// The brittle services.
    std::map<std::string, std::int64_t> m_max_rejections;
};

} // namespace turmeric::domain
