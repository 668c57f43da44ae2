#pragma once

#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Keeps the requests of all routers together within what upstreams sustain
/// while they are cold: after their start, or when they have said so again.
///
/// For each upstream, rendezvous hashing picks as many of the registered
/// routers as it sustains requests per second. Each of these sends at most its
/// even share, paced by the time between sends, and the others send none, so
/// that no message is needed for a request. A router that is cut off keeps the
/// routers that it knew, and so no larger share. Not thread safe.
class cold_upstreams
{
public:
    /// Sets the registered routers. Until the first call this router sends
    /// nothing to cold upstreams.
    void set_routers(const router_ranking& registered);

    /// Sets what cold upstreams of the services sustain. Services that do not
    /// say so have no cold upstreams.
    void set_services(const std::vector<upstream_service>& services);

    /// Sets the registered upstreams. A cold time counts from the call in which
    /// it is new, so that reading the same entry again does not prolong it.
    void set_upstreams(const std::vector<upstream_entry>& entries,
                       ports::steady_time now);

    /// Returns whether this router may send a request to an upstream now.
    [[nodiscard]] bool may_send(std::uint64_t incarnation,
                                ports::steady_time now) const;

    /// Returns how many requests per second this router may send to an
    /// upstream; nothing if it is not cold.
    [[nodiscard]] std::optional<double> own_rate(std::uint64_t incarnation,
                                                 ports::steady_time now) const;

    /// Records that a request was sent. Returns whether the upstream is cold.
    bool note_sent(std::uint64_t incarnation, ports::steady_time now);

    /// Returns when the next of the cold upstreams takes a request of this
    /// router that it does not take now; nothing if there is none.
    [[nodiscard]] std::optional<ports::steady_time>
    next_opening(ports::steady_time now) const;

    /// Returns how many upstreams are cold.
    [[nodiscard]] std::size_t count(ports::steady_time now) const;

private:
    /// What an upstream of a service sustains while it is cold.
    struct cold_terms
    {
        double requests_per_second = 0;
        std::chrono::milliseconds start_time{0};
    };

    struct upstream_state
    {
        std::string service;
        /// As in the entry that was read last.
        std::chrono::milliseconds cold_left{0};
        ports::steady_time cold_until{};
        std::optional<ports::steady_time> last_sent_at;
        /// How many routers rank above this one for the upstream.
        std::size_t position = 0;
    };

    /// Returns when an upstream stops being cold that is listed for the first
    /// time.
    [[nodiscard]] ports::steady_time
    first_cold_until(const upstream_entry& entry, const cold_terms& terms,
                     ports::steady_time now) const;
    /// Returns this router's share of the upstream, in requests per second.
    [[nodiscard]] double share_of(const upstream_state& state) const;
    /// Returns when this router may send to a cold upstream; nothing if it may
    /// not before the upstream is warm.
    [[nodiscard]] std::optional<ports::steady_time>
    opens_at(const upstream_state& state) const;

    std::optional<router_ranking> m_routers;
    std::map<std::string, cold_terms> m_services;
    std::map<std::uint64_t, upstream_state> m_upstreams;
    bool m_has_entries = false;
};

} // namespace turmeric::domain
