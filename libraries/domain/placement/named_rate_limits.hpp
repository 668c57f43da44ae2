#pragma once

#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmeric::domain
{

/// What an upstream last said about the rate of requests that it takes.
struct named_rate_limit
{
    /// As returned by `incarnation_of`.
    std::uint64_t incarnation = 0;
    /// Requests per second from all routers together; nothing once the
    /// upstream names no limit any more.
    std::optional<double> per_second;
    /// When a response said so.
    ports::steady_time observed_at;
};

/// Keeps the requests of all routers together within the limits that upstreams
/// name in their responses.
///
/// Only a few routers send requests to an upstream that names a limit, those
/// that rank highest for it, so that the share of each serves requests and no
/// messages are needed to agree on the shares. They learn from the responses
/// how the limit changes and when it ends, and tell their peers. Not thread
/// safe.
class named_rate_limits
{
public:
    /// Sets the routers of the fleet.
    void set_routers(const router_ranking& routers);

    /// Forgets the limits of other upstreams than these.
    void keep_only(const std::set<std::uint64_t>& incarnations);

    /// Records the limit that a response names, or that it names none.
    /// `sent_at` is when its request was sent: a response to an earlier request
    /// does not end a limit. Returns whether the limit has changed.
    bool record_response(std::uint64_t incarnation,
                         std::optional<double> per_second,
                         ports::steady_time sent_at, ports::steady_time now);

    /// Adds what peers observed.
    void merge(const std::vector<named_rate_limit>& observed);

    /// Returns whether this router may send a request to an upstream now.
    [[nodiscard]] bool may_send(std::uint64_t incarnation,
                                ports::steady_time now) const;

    /// Returns whether this router should send its next request to an upstream,
    /// because the routers have not seen for a while whether it still names a
    /// limit. Implies `may_send`.
    [[nodiscard]] bool is_observation_due(std::uint64_t incarnation,
                                          ports::steady_time now) const;

    /// Records that a request was sent.
    void note_sent(std::uint64_t incarnation, ports::steady_time now);

    /// Returns how many requests per second this router may send to an
    /// upstream; nothing if the upstream names no limit.
    [[nodiscard]] std::optional<double>
    own_rate(std::uint64_t incarnation) const;

    /// Returns what this router has observed lately, for its peers.
    [[nodiscard]] std::vector<named_rate_limit>
    report(ports::steady_time now) const;

private:
    struct limit_state
    {
        named_rate_limit limit;
        /// Whether this router has seen the response itself.
        bool is_own_observation = false;
        std::optional<ports::steady_time> last_sent_at;
        /// How many routers rank above this one for the upstream.
        std::size_t position = 0;
    };

    limit_state& find_or_add(std::uint64_t incarnation);
    [[nodiscard]] std::size_t count_holders(double per_second) const;
    [[nodiscard]] std::optional<double>
    own_rate(const limit_state& state) const;

    router_ranking m_routers;
    std::map<std::uint64_t, limit_state> m_limits;
};

} // namespace turmeric::domain
