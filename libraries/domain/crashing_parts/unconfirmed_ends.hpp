#pragma once

#include "libraries/domain/crashing_parts/suspect_part.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// An end of an upstream that may as well be a loss of this router's own path
/// to it.
struct unconfirmed_end
{
    std::string service;
    /// The id of the upstream.
    std::string upstream;
    std::vector<suspect_id> ids;
    observed_end end;
    /// Whether probes were sent to confirm it.
    bool is_probed = false;
    /// Whether a probe of the upstream has failed since.
    bool is_gone = false;
    /// Whether another upstream of the service has responded since.
    bool is_path_left = false;
};

/// An upstream that is to be probed.
struct upstream_to_probe
{
    std::string service;
    std::string upstream;
};

/// Holds ends of upstreams back until it is known that this router's paths are
/// not lost: another upstream of the same service has responded, to a request
/// or to a probe while a probe of the ended one fails. Not thread safe.
class unconfirmed_ends
{
public:
    /// Adds an end. The oldest one is dropped if there are too many.
    void add(unconfirmed_end added);

    /// Removes and returns the ends that a response of an upstream confirms:
    /// those of other upstreams of its service, a short time before.
    [[nodiscard]] std::vector<unconfirmed_end>
    take_confirmed(const std::string& service, const std::string& upstream,
                   ports::steady_time now);

    /// Records the result of a probe of an upstream. Removes and returns the
    /// ends that it confirms; drops those of an upstream that accepts
    /// connections, since it has not ended.
    [[nodiscard]] std::vector<unconfirmed_end>
    record_probe(const std::string& service, const std::string& upstream,
                 ports::probe_result result);

    /// Drops the ends of a service. Returns how many there were.
    std::size_t drop(const std::string& service);

    /// Drops the ends that nothing has confirmed for long.
    void drop_old(ports::steady_time now);

    /// Returns the upstreams whose ends have waited for a response long enough
    /// to be confirmed by probes, each end once. The upstream and another one
    /// of its service are then probed.
    [[nodiscard]] std::vector<upstream_to_probe>
    take_upstreams_to_probe(ports::steady_time now);

    /// Returns when `take_upstreams_to_probe` is to be called next; nothing if
    /// it would return none.
    [[nodiscard]] std::optional<ports::steady_time> next_probes_at() const;

    /// Returns under how many upstreams requests with one of the suspects have
    /// ended; the most for one suspect.
    [[nodiscard]] std::size_t count(const std::vector<suspect_id>& ids) const;

    /// Returns whether there are none.
    [[nodiscard]] bool empty() const;

private:
    /// In the order of their times.
    std::vector<unconfirmed_end> m_ends;
};

} // namespace turmeric::domain
