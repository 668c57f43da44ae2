#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/membership/contact_record.hpp"
#include "libraries/domain/placement/upstream_load_balancer.hpp"
#include "libraries/domain/placement/upstream_observations.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// The tokens of one account at one router.
struct peer_account_tokens
{
    std::int64_t used = 0;
    std::int64_t held = 0;
    std::int64_t free = 0;
    /// Recent consumption, in tokens per second.
    std::int64_t rate = 0;
};

/// The state that a router sends to its peers several times a second.
struct peer_digest
{
    std::string incarnation;
    /// Increases with each digest of an incarnation. A peer drops a digest
    /// whose number is not above that of the last one.
    std::int64_t sequence = 0;
    std::int64_t configuration_version = 0;
    bool is_leaving = false;
    /// Whether the store is unavailable to this router.
    bool is_store_unavailable = false;
    /// When the store last answered this router; nothing if it never did.
    std::optional<domain::contact_span> store_contact;
    std::map<std::string, domain::upstream_load> load;
    std::map<std::string, peer_account_tokens> accounts;
    domain::upstream_observations observations;
    /// The services whose upstreams the router does not reach.
    std::set<std::string> cut_off_services;
    /// Whether the router is offered more than its VM carries.
    bool is_overloaded = false;
};

/// Encodes a digest as CBOR. Times are written as their ages at `now`, since
/// the clocks of routers differ. Thread safe.
[[nodiscard]] std::string write_digest(const peer_digest& digest,
                                       ports::steady_time now);

/// Decodes a digest that was received at `now`. Errors: `peer_protocol`, also
/// for another version of the format. Thread safe.
[[nodiscard]] result<peer_digest> read_digest(std::string_view bytes,
                                              ports::steady_time now);

} // namespace turmeric::codecs
