#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/placement/upstream_load_balancer.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// What one account has at one router, in tokens.
struct peer_account_tokens
{
    std::int64_t used = 0;
    std::int64_t held = 0;
    std::int64_t free = 0;
    /// Consumed in a second, of late.
    std::int64_t rate = 0;
};

/// What one router tells its peers several times a second.
struct peer_digest
{
    std::string incarnation;
    /// Grows with each digest of an incarnation; an older one is dropped.
    std::int64_t sequence = 0;
    std::int64_t configuration_version = 0;
    bool is_leaving = false;
    /// Whether the store does not answer this router.
    bool is_store_unavailable = false;
    std::map<std::string, domain::upstream_load> load;
    std::map<std::string, peer_account_tokens> accounts;
};

/// Writes a digest as CBOR. Thread safe.
[[nodiscard]] std::string write_digest(const peer_digest& digest);

/// Reads a digest. Errors: `peer_protocol`. Thread safe.
[[nodiscard]] result<peer_digest> read_digest(std::string_view bytes);

} // namespace turmeric::codecs
