#pragma once

#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/random_source.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// A service whose upstreams this router has begun or ceased to reach.
struct path_change
{
    std::string service;
    bool is_cut_off = false;
    /// How many upstreams the service has.
    std::size_t upstreams = 0;
};

/// Finds out whether this router has lost the network paths to all upstreams of
/// a service, while the upstreams may well be serving other routers.
///
/// Calls that fail on several upstreams of a service, or that have no response
/// for unusually long, are a reason to probe a few of its upstreams. If none
/// responds, the service is cut off; that a connection opens is no proof of a
/// path, since a party on the way may accept it. Further probes, one at a time,
/// find out when an upstream responds again. Without failures and unusual
/// silence there are no probes. Not thread safe.
class path_monitor
{
public:
    /// Sets the upstreams that accept requests, of all services.
    void set_upstreams(const std::vector<upstream_entry>& entries,
                       ports::steady_time now);

    /// Records that a request was sent to an upstream.
    void record_sent(const upstream_entry& upstream, ports::steady_time now);

    /// Records that an upstream sent a part of a response.
    void record_contact(const upstream_entry& upstream, ports::steady_time now);

    /// Records that a call to an upstream failed by its connection.
    void record_failure(const upstream_entry& upstream,
                        ports::transport_failure failure,
                        ports::steady_time now);

    /// Makes probes due of an upstream that seems to have ended, and of another
    /// one of its service.
    void request_probes(const std::string& service,
                        const std::string& upstream);

    /// Returns the upstreams that are to be probed now. The result of each is
    /// passed to `record_probe`.
    [[nodiscard]] std::vector<upstream_entry>
    start_probes(ports::steady_time now, ports::random_source& random);

    /// Records the result of a probe.
    void record_probe(const upstream_entry& upstream,
                      ports::probe_result result, ports::steady_time now);

    /// Returns when `start_probes` is to be called next, which may have passed;
    /// nothing while no probe is foreseen.
    [[nodiscard]] std::optional<ports::steady_time> next_probes_at() const;

    /// Returns whether this router has lost its paths to the upstreams of a
    /// service, so that peers should send its requests.
    [[nodiscard]] bool is_cut_off(const std::string& service,
                                  ports::steady_time now) const;

    /// Returns whether upstreams of a service that is cut off accept
    /// connections without a response, so that they may as well be slow.
    [[nodiscard]] bool may_be_slow(const std::string& service) const;

    /// Returns the services for which `is_cut_off` holds.
    [[nodiscard]] std::set<std::string>
    cut_off_services(ports::steady_time now) const;

    /// Returns whether a service is or was cut off at any time since `since`,
    /// so that a failure of a call since then says nothing about its upstream.
    [[nodiscard]] bool was_cut_off_since(const std::string& service,
                                         ports::steady_time since) const;

    /// Returns whether a service has another upstream than the one with an id.
    [[nodiscard]] bool has_other_upstream(const std::string& service,
                                          const std::string& id) const;

    /// Returns whether upstreams of a service have responded since the first
    /// of the failures by which it was found to be cut off, so that connections
    /// which were open before live on.
    [[nodiscard]] bool is_in_contact(const std::string& service) const;

    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<path_change> take_changes();

    /// Returns whether `take_changes` would return any.
    [[nodiscard]] bool has_changes() const;

private:
    /// Which upstreams are probed at once, while a service is not cut off.
    enum class probe_round : std::uint8_t
    {
        /// Upstreams that seem to have ended, and another one.
        ended,
        /// A few upstreams. If none responds, the service is cut off.
        sample,
    };

    struct call_failure
    {
        ports::steady_time at;
        /// Whether no connection was established.
        bool is_connect = false;
    };

    struct service_paths
    {
        /// By id.
        std::map<std::string, upstream_entry> upstreams;
        /// The last failure of each upstream, by id. Those of established
        /// connections are since the last contact.
        std::map<std::string, call_failure> failures;
        std::optional<ports::steady_time> last_contact_at;
        /// When the service last ceased to be cut off.
        std::optional<ports::steady_time> restored_at;
        /// When the first failure was that led to the present suspicion.
        std::optional<ports::steady_time> suspicious_since;
        /// When the first request since the last contact was sent.
        std::optional<ports::steady_time> silent_since;
        /// How long the service is silent at times, after requests were sent.
        std::chrono::nanoseconds usual_silence{};
        bool is_cut_off = false;
        std::optional<probe_round> due_round;
        /// The ids of upstreams that seem to have ended, for the next round.
        std::set<std::string> ended;
        /// The last round that was started.
        probe_round round = probe_round::sample;
        std::optional<ports::steady_time> last_round_at;
        /// Whether one of the round's upstreams accepted a connection.
        bool is_round_silent = false;
        /// Whether the last upstream that was probed did.
        bool is_last_silent = false;
        /// The ids of the upstreams that are being probed.
        std::set<std::string> probed;
        /// While the service is cut off.
        ports::steady_time next_probe_at;
        std::chrono::nanoseconds probe_interval{};
        /// Which part of the interval the next wait is. Drawn at random, so
        /// that routers do not return at the same moment.
        double interval_fraction = 1.0;
        std::string last_probed;
    };

    static void set_upstreams(service_paths& paths,
                              std::map<std::string, upstream_entry> upstreams,
                              ports::steady_time now);
    /// Returns when a service is probed next that was found to be cut off at
    /// `now`.
    [[nodiscard]] static ports::steady_time
    later_probe_at(const service_paths& paths, ports::steady_time now);
    /// Returns the paths of a service; null if it has no such upstream.
    service_paths* find(const upstream_entry& upstream);
    void cut_off(const std::string& service, service_paths& paths,
                 ports::steady_time now);
    void restore(const std::string& service, service_paths& paths,
                 ports::steady_time now);
    void record_answer(const std::string& service, service_paths& paths,
                       ports::steady_time now);
    /// Decides by the results of a round in which no upstream responded.
    void finish_round(const std::string& service, service_paths& paths,
                      ports::steady_time now);
    [[nodiscard]] static bool is_suspicious(const service_paths& paths);
    [[nodiscard]] static std::optional<ports::steady_time>
    next_probes_at(const service_paths& paths);
    /// Returns how many upstreams are probed beside those that a round is
    /// about.
    [[nodiscard]] static std::size_t count_others(probe_round round);
    static void shuffle(std::vector<upstream_entry>& entries,
                        ports::random_source& random);
    [[nodiscard]] static std::vector<upstream_entry>
    choose_probes(service_paths& paths, ports::random_source& random);

    std::map<std::string, service_paths> m_services;
    std::vector<path_change> m_changes;
};

} // namespace turmeric::domain
