#pragma once

#include "libraries/core/result.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace turmeric::ports
{

/// What must hold of a key for a change to be made; 0: it does not exist.
struct key_condition
{
    std::string key;
    revision expected = 0;
};

/// A key to be written; bound to `lease` unless that is 0.
struct key_write
{
    std::string key;
    std::string value;
    lease_id lease = 0;
};

/// A change that is made as a whole or not at all.
struct store_change
{
    std::vector<key_condition> conditions;
    std::vector<key_write> writes;
    std::vector<std::string> deletions;
};

/// The change was made at `at`.
struct change_committed
{
    revision at = 0;
};

/// A condition did not hold; the conditions' keys as they are now, without
/// those that do not exist.
struct change_conflict
{
    std::vector<key_value> current;
};

using change_outcome = std::variant<change_committed, change_conflict>;

/// A lease and how long it lasts from its last renewal.
struct granted_lease
{
    lease_id lease = 0;
    std::chrono::milliseconds time_to_live{0};
};

/// The platform's key-value service for a thread that must not block. Each
/// call has a time-out of its own and its callback is called exactly once,
/// later, on the same thread. Not thread safe.
///
/// Errors: `platform_unavailable` (the call had no effect),
/// `platform_outcome_unknown` (a write may take effect, also later),
/// `platform_rate_limited`, `platform_timeout` (a read), `lease_lost`,
/// `corrupt_value` (an answer that cannot be read).
class asynchronous_store
{
public:
    template <class Value>
    using callback = std::function<void(result<Value>)>;

    asynchronous_store() = default;
    asynchronous_store(const asynchronous_store&) = delete;
    asynchronous_store& operator=(const asynchronous_store&) = delete;
    virtual ~asynchronous_store() = default;

    /// Reads the keys that start with `prefix`, all pages of them. The
    /// revision is the one before the first page, so that a watch from there
    /// on misses nothing.
    virtual void list(const std::string& prefix, callback<key_range> done) = 0;

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    virtual void watch(const std::string& prefix, revision after,
                       std::chrono::milliseconds wait,
                       callback<watch_batch> done) = 0;

    /// Makes a change if its conditions hold.
    virtual void commit(const store_change& change,
                        callback<change_outcome> done) = 0;

    /// Creates a lease.
    virtual void create_lease(std::chrono::milliseconds time_to_live,
                              callback<granted_lease> done) = 0;

    /// Renews a lease; `lease_lost` if it has lapsed.
    virtual void renew_lease(lease_id lease, callback<std::monostate> done) = 0;

    /// Ends a lease and deletes the keys bound to it.
    virtual void revoke_lease(lease_id lease,
                              callback<std::monostate> done) = 0;
};

} // namespace turmeric::ports
