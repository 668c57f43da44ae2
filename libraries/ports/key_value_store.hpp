#pragma once

#include "libraries/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::ports
{

/// A revision of the store. The modification revision of a key is the store
/// revision of its last change; 0 means that the key does not exist.
using revision = std::int64_t;

/// Identifies a lease in the store; 0 means no lease.
using lease_id = std::int64_t;

/// A key and its value as they were read.
struct key_value
{
    std::string key;
    std::string value;
    /// The revision that a compare-and-swap of this key must expect.
    revision modification_revision = 0;
};

/// The keys under a prefix and the store revision at which they were read.
struct key_range
{
    std::vector<key_value> entries;
    revision store_revision = 0;
};

/// One change reported by a watch. A deletion sets `is_deleted` and has no
/// value.
struct key_event
{
    key_value entry;
    bool is_deleted = false;
};

/// The changes that a watch reported within its wait time.
struct watch_batch
{
    std::vector<key_event> events;
    /// The next watch starts at this revision plus one.
    revision store_revision = 0;
    /// The store has compacted the start revision away, so that changes may
    /// be missing: read the range again.
    bool is_compacted = false;
};

/// The platform's key-value service. Every call counts against the rate limits
/// of the service; a watch counts as one call, however long it waits.
/// Implementations are thread safe.
///
/// Errors: `platform_unavailable` (the call had no effect),
/// `platform_outcome_unknown` (a write may have taken effect),
/// `platform_conflict` (the comparison failed), `platform_rate_limited`,
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

    /// Writes `value` if the key's modification revision is `expected` (0:
    /// the key must not exist) and returns the new revision. The key is bound
    /// to `lease` unless that is 0. Thread safe; blocks.
    virtual result<revision> compare_and_swap(const std::string& key,
                                              const std::string& value,
                                              revision expected,
                                              lease_id lease) = 0;

    /// Deletes the key if its modification revision is `expected`. Thread
    /// safe; blocks.
    virtual status compare_and_delete(const std::string& key,
                                      revision expected) = 0;

    /// Creates a lease that expires `time_to_live` after its last renewal.
    /// Precondition: `time_to_live` is at least one second. Thread safe;
    /// blocks.
    virtual result<lease_id>
    create_lease(std::chrono::seconds time_to_live) = 0;

    /// Renews a lease. Error: `lease_lost` if the lease has expired. Thread
    /// safe; blocks.
    virtual status renew_lease(lease_id lease) = 0;

    /// Revokes a lease and deletes the keys bound to it. Thread safe; blocks.
    virtual status revoke_lease(lease_id lease) = 0;

    /// Waits up to `wait` for changes of keys under `prefix` from revision
    /// `start` on. An empty batch means that there was no change in that time.
    /// Thread safe; blocks.
    virtual result<watch_batch> watch(const std::string& prefix, revision start,
                                      std::chrono::milliseconds wait) = 0;
};

} // namespace turmeric::ports
