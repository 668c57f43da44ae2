#pragma once

#include "libraries/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::ports
{

/// The store's modification number of a key; 0 means that it does not exist.
using revision = std::int64_t;

/// Names a lease in the store; 0 means none.
using lease_id = std::int64_t;

/// A key as it was read.
struct key_value
{
    std::string key;
    std::string value;
    /// The modification number that a compare-and-swap must name.
    revision modification_revision = 0;
};

/// The keys under a prefix and the store revision at which they were read.
struct key_range
{
    std::vector<key_value> entries;
    revision store_revision = 0;
};

/// One change seen by a watch. A deletion has `is_deleted` and no value.
struct key_event
{
    key_value entry;
    bool is_deleted = false;
};

/// What a watch saw within its wait.
struct watch_batch
{
    std::vector<key_event> events;
    /// Pass this plus one as the next start.
    revision store_revision = 0;
    /// The start was compacted away; read the range again.
    bool is_compacted = false;
};

/// The platform's key-value service. Every call counts against its rates, a
/// waiting watch as one. Implementations are thread safe.
///
/// Errors: `platform_unavailable` (the call had no effect),
/// `platform_outcome_unknown` (a write may have taken effect),
/// `platform_conflict` (the compare failed), `platform_rate_limited`,
/// `platform_timeout` (a read), `platform_value_too_large`, `lease_lost`.
class key_value_store
{
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    /// Reads one key. Thread safe; blocks up to the call timeout.
    virtual result<std::optional<key_value>> get(const std::string& key) = 0;

    /// Reads the keys that start with `prefix`. Thread safe; blocks.
    virtual result<key_range> list(const std::string& prefix) = 0;

    /// Writes `value` if the key's modification number is `expected` (0:
    /// the key must not exist) and returns the new number. The key is bound
    /// to `lease` unless that is 0. Thread safe; blocks.
    virtual result<revision> compare_and_swap(const std::string& key,
                                              const std::string& value,
                                              revision expected,
                                              lease_id lease) = 0;

    /// Deletes the key if its modification number is `expected`. Thread
    /// safe; blocks.
    virtual status compare_and_delete(const std::string& key,
                                      revision expected) = 0;

    /// Creates a lease that lapses `time_to_live` after its last renewal.
    /// Precondition: at least one second. Thread safe; blocks.
    virtual result<lease_id>
    create_lease(std::chrono::seconds time_to_live) = 0;

    /// Renews a lease; `lease_lost` if it has lapsed. Thread safe; blocks.
    virtual status renew_lease(lease_id lease) = 0;

    /// Ends a lease and deletes the keys bound to it. Thread safe; blocks.
    virtual status revoke_lease(lease_id lease) = 0;

    /// Waits up to `wait` for changes under `prefix` from revision `start`
    /// on; an empty batch means that none came. Thread safe; blocks.
    virtual result<watch_batch> watch(const std::string& prefix, revision start,
                                      std::chrono::milliseconds wait) = 0;
};

} // namespace turmeric::ports
