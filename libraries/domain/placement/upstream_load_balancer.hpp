#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/move/version_split.hpp"
#include "libraries/domain/placement/brittle_upstreams.hpp"
#include "libraries/domain/placement/cold_upstreams.hpp"
#include "libraries/domain/placement/first_token_model.hpp"
#include "libraries/domain/placement/named_rate_limits.hpp"
#include "libraries/domain/placement/prefix_cache_index.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/domain/placement/upstream_notices.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmeric::domain
{

/// The load that requests put on one upstream.
struct upstream_load
{
    /// Requests that were sent and have not ended.
    std::int64_t requests = 0;
    /// Prompt tokens of the requests that have not had their first output.
    std::int64_t unread_tokens = 0;
};

/// What the choice of an upstream depends on.
struct placement_request
{
    std::string service;
    /// Null for plain services.
    const prompt_description* prompt = nullptr;
    /// Ids of upstreams to which this request was already sent.
    std::set<std::string> tried;
    /// The limits that upstreams have named; null if there are none.
    const named_rate_limits* limits = nullptr;
    /// What upstreams said of themselves; null if they said nothing.
    const upstream_notices* notices = nullptr;
    /// Upstreams that must hardly turn requests away; null if there are none.
    const brittle_upstreams* brittle = nullptr;
    /// Upstreams that sustain few requests after their start; null if there are
    /// none.
    const cold_upstreams* cold = nullptr;
    /// Whether other requests wait for slots of the service.
    bool has_queue = false;
    /// The versions that may serve the request.
    version_choice versions = {};
};

/// The chosen upstream and the estimates that led to the choice.
struct placement
{
    upstream_entry upstream;
    /// Prompt tokens that the upstream is expected to read, because they are
    /// not in its prefix cache.
    std::int64_t tokens_to_read = 0;
    /// Work that the upstream must do before the first output, in prompt
    /// tokens.
    double work = 0;
    /// The cost by which upstreams are compared, in the same unit.
    double cost = 0;
    /// Predicted time from sending the request to its first output; zero
    /// while there are too few observations for a prediction.
    std::chrono::milliseconds expected{0};
    /// The same for an upstream of the service's usual speed.
    std::chrono::milliseconds usual{0};
};

/// Why no upstream was chosen.
enum class placement_refusal : std::uint8_t
{
    /// The service has no upstream that accepts requests.
    none_known,
    /// Upstreams that were not tried are left, but none has
    /// capacity now.
    none_free,
    /// The request was already sent to every upstream of the service.
    none_left,
};

/// Returns the refusal's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(placement_refusal value)
{
    switch (value)
    {
    case placement_refusal::none_known:
        return "none_known";
    case placement_refusal::none_free:
        return "none_free";
    case placement_refusal::none_left:
        return "none_left";
    }
    return "unknown";
}

using placement_choice = std::variant<placement, placement_refusal>;

/// One router's view of all upstreams: which exist, the load that this router
/// and its peers have placed on them, and how fast and reliably they respond.
/// Several routers place requests on the same upstreams at the same time:
/// the requests of this router are counted immediately, those of its peers as
/// of the peers' last reports. Not thread safe.
class upstream_load_balancer
{
public:
    /// Prefers upstreams of `data_centre`. No precondition.
    explicit upstream_load_balancer(std::string data_centre);

    /// Replaces the list of upstreams; keeps the state of those that remain.
    /// Returns those that disappeared or stopped accepting requests.
    std::vector<upstream_entry>
    set_upstreams(const std::vector<upstream_entry>& entries);

    /// Sets the load placed by peers, by upstream id. `routers` is the number
    /// of routers, including this one.
    void set_peer_load(std::map<std::string, upstream_load> load,
                       std::int64_t routers);

    /// Chooses the cheapest upstream that has capacity. Ejected upstreams are
    /// chosen only if there is no other. Precondition: `service` is the
    /// request's.
    [[nodiscard]] placement_choice choose(const placement_request& request,
                                          const upstream_service& service,
                                          ports::steady_time now) const;

    /// Returns how many requests per second this router may send to the
    /// upstreams that `request` was not sent to, if all of these name limits or
    /// are cold; nothing if one does neither.
    [[nodiscard]] std::optional<double>
    limited_rate(const placement_request& request,
                 ports::steady_time now) const;

    /// Returns when the first of the upstreams that `request` was not sent to
    /// takes requests again, if all of these pause; otherwise nothing.
    [[nodiscard]] std::optional<ports::steady_time>
    earliest_pause_end(const placement_request& request,
                       ports::steady_time now) const;

    /// Records that a request was sent. Precondition: `chosen` came from
    /// `choose`.
    void note_sent(const placement& chosen, const prompt_description* prompt,
                   ports::steady_time now);

    /// Records the first output of a request, `took` after it was sent.
    /// Precondition: `note_sent` was called with the same placement.
    void note_first_output(const placement& chosen,
                           std::chrono::milliseconds took);

    /// Records that a request ended. `had_first_output` is whether
    /// `note_first_output` was called. Precondition: as `note_first_output`.
    void note_ended(const placement& chosen, bool had_first_output);

    /// Records whether a request succeeded. Ejects the upstream after several
    /// consecutive failures, for a time that grows with further failures.
    /// Returns true if this failure ejected it.
    bool note_outcome(const std::string& id, bool is_success,
                      ports::steady_time now);

    /// Forgets the recent failures of the upstreams of a service, for example
    /// because this router's own paths to them had failed. Returns them.
    std::vector<upstream_entry> forget_failures(const std::string& service);

    /// Returns the load placed by this router, by upstream id, without
    /// upstreams that have none and those of `unreached_services`.
    [[nodiscard]] std::map<std::string, upstream_load>
    own_load(const std::set<std::string>& unreached_services = {}) const;

    /// Returns whether an upstream exists and accepts new requests.
    [[nodiscard]] bool is_ready(const std::string& id) const;

private:
    struct upstream_record
    {
        upstream_entry entry;
        std::uint64_t incarnation = 0;
        upstream_load own_load;
        upstream_load peer_load;
        prefix_cache_index prefixes;
        std::int32_t consecutive_failures = 0;
        std::optional<ports::steady_time> ejected_until;
        /// Smoothed ratio of the measured to the predicted time to the first
        /// token.
        double slowness = 1.0;
        /// Smoothed fraction of requests that failed.
        double failure_rate = 0;
    };

    [[nodiscard]] std::int64_t tokens_to_read(const upstream_record& record,
                                              const prompt_description& prompt,
                                              std::uint64_t preferred,
                                              ports::steady_time now) const;
    [[nodiscard]] static double estimate_work(const upstream_record& record,
                                              const upstream_service& service,
                                              std::int64_t tokens);
    [[nodiscard]] double estimate_cost(const upstream_record& record,
                                       const upstream_service& service,
                                       double work,
                                       std::int64_t shared_tokens) const;
    /// Returns whether this router may send the request to an upstream at the
    /// rate that the upstream bears.
    [[nodiscard]] static bool is_within_rate(const upstream_record& record,
                                             const placement_request& request,
                                             ports::steady_time now);
    /// Considers only ejected upstreams if `is_among_ejected`, otherwise only
    /// those that are not ejected.
    [[nodiscard]] std::optional<placement>
    find_cheapest(const placement_request& request,
                  const upstream_service& service, ports::steady_time now,
                  bool is_among_ejected) const;
    /// Returns whether an upstream of the request's service accepts requests,
    /// by the list and by its own responses.
    [[nodiscard]] static bool
    accepts_requests(const upstream_record& record,
                     const placement_request& request);
    /// Returns whether the request may go to an upstream, by its service, its
    /// state and the earlier attempts.
    [[nodiscard]] static bool is_candidate(const upstream_record& record,
                                           const placement_request& request);
    /// Returns when an upstream takes requests of this router again, or nothing
    /// if it does now.
    [[nodiscard]] static std::optional<ports::steady_time>
    paused_until(const upstream_record& record,
                 const placement_request& request, ports::steady_time now);
    /// Returns whether the request fits into what this router may have at an
    /// upstream that is brittle.
    [[nodiscard]] static bool is_within_share(const upstream_record& record,
                                              const placement_request& request,
                                              ports::steady_time now);
    [[nodiscard]] bool has_capacity(const upstream_record& record,
                                    const placement_request& request,
                                    const upstream_service& service,
                                    ports::steady_time now) const;
    /// Returns the digest of the id of the upstream to which rendezvous
    /// hashing maps the prompt's shared parts, or 0 if there is none.
    [[nodiscard]] std::uint64_t
    find_preferred(const placement_request& request) const;

    std::string m_data_centre;
    std::int64_t m_routers = 1;
    std::map<std::string, upstream_record> m_upstreams;
    std::map<std::string, first_token_model> m_models;
};

} // namespace turmeric::domain
