#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/placement/first_token_model.hpp"
#include "libraries/domain/placement/prefix_memory.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
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

/// What routers have placed on one upstream.
struct upstream_load
{
    /// Requests sent and not ended.
    std::int64_t requests = 0;
    /// Prompt tokens sent whose first output token has not come.
    std::int64_t unread_tokens = 0;
};

/// What the choice of an upstream looks at.
struct placement_request
{
    std::string service;
    /// Null for plain services.
    const prompt_description* prompt = nullptr;
    /// Upstreams that this request was sent to already.
    std::set<std::string> tried;
};

/// The chosen upstream and what decided.
struct placement
{
    upstream_entry upstream;
    /// Prompt tokens that the upstream is expected to read.
    std::int64_t tokens_to_read = 0;
    /// What the upstream has before the first output, in prompt tokens.
    double work = 0;
    /// The cost that the choice compared, in the same unit.
    double cost = 0;
    /// When the first output is expected, from the sending on; zero while
    /// too little was seen.
    std::chrono::milliseconds expected{0};
};

/// Why no upstream was chosen.
enum class placement_refusal : std::uint8_t
{
    /// No upstream of the service is known.
    none_known,
    /// All that may be used have no room now.
    none_free,
    /// All that are left were tried or lately failed.
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

/// One router's view of all upstreams: who is there, what was placed on them
/// by this router and by its peers, and how they have served. Answers the
/// load where several routers place on the same upstreams at once: what this
/// router placed counts at once, what peers placed as they last told. Not
/// thread safe.
class upstream_board
{
public:
    /// Prefers upstreams of `data_centre`. No precondition.
    explicit upstream_board(std::string data_centre);

    /// Sets which upstreams there are; what is known of those that stay is
    /// kept. Returns those that left or are draining now.
    std::vector<upstream_entry>
    set_upstreams(const std::vector<upstream_entry>& entries);

    /// Sets what peers have placed, by upstream id.
    void set_peer_load(std::map<std::string, upstream_load> load,
                       std::int64_t routers);

    /// Chooses an upstream. Precondition: `service` is the request's.
    [[nodiscard]] placement_choice choose(const placement_request& request,
                                          const upstream_service& service,
                                          ports::steady_time now) const;

    /// Notes that a request was sent. Precondition: `chosen` came from
    /// `choose`.
    void note_sent(const placement& chosen, const prompt_description* prompt,
                   ports::steady_time now);

    /// Notes the first output of a request. Precondition: `note_sent` for
    /// the same placement.
    void note_started(const placement& chosen, std::chrono::milliseconds took);

    /// Notes that a request ended. Precondition: as `note_started`;
    /// `was_started` tells whether that was called.
    void note_ended(const placement& chosen, bool was_started);

    /// Notes how a request went. After failures in a row the upstream gets no
    /// requests for a while; returns true when that begins.
    bool note_outcome(const std::string& id, bool is_good,
                      ports::steady_time now);

    /// Returns what this router has placed, by upstream id; those without
    /// load are left out.
    [[nodiscard]] std::map<std::string, upstream_load> own_load() const;

    /// Tells whether an upstream takes new requests.
    [[nodiscard]] bool is_ready(const std::string& id) const;

private:
    struct upstream_record
    {
        upstream_entry entry;
        upstream_load own;
        upstream_load of_peers;
        prefix_memory prefixes;
        std::int32_t failures_in_row = 0;
        std::optional<ports::steady_time> ejected_until;
        /// How slow its first tokens are against what was expected of it.
        double slowness = 1.0;
        /// The share of requests that failed of late.
        double failure_share = 0;
    };

    [[nodiscard]] std::int64_t tokens_to_read(const upstream_record& record,
                                              const prompt_description& prompt,
                                              std::uint64_t home,
                                              ports::steady_time now) const;
    [[nodiscard]] static double work_of(const upstream_record& record,
                                        const upstream_service& service,
                                        std::int64_t tokens);
    [[nodiscard]] double cost_of(const upstream_record& record,
                                 const upstream_service& service, double work,
                                 std::int64_t shared_tokens) const;
    [[nodiscard]] std::optional<placement>
    find_cheapest(const placement_request& request,
                  const upstream_service& service, ports::steady_time now,
                  bool is_with_ejected) const;
    [[nodiscard]] bool has_room(const upstream_record& record,
                                const upstream_service& service) const;
    /// Returns the digest of the id of the upstream that is home to the
    /// prompt's shared parts.
    [[nodiscard]] std::uint64_t home_of(const std::string& service,
                                        const prompt_description& prompt) const;

    std::string m_data_centre;
    std::int64_t m_routers = 1;
    std::map<std::string, upstream_record> m_upstreams;
    std::map<std::string, first_token_model> m_models;
};

} // namespace turmeric::domain
