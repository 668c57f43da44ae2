#pragma once

#include "libraries/core/result.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/store_era.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace turmeric::ports
{

/// A condition of a change: the modification revision that the key must have.
/// 0 means that the key must not exist.
struct key_condition
{
    std::string key;
    revision expected = 0;
};

/// A key to write. It is bound to `lease` unless that is 0.
struct key_write
{
    std::string key;
    std::string value;
    lease_id lease = 0;
};

/// An atomic change: either all of its writes and deletions take effect or
/// none.
struct store_change
{
    std::vector<key_condition> conditions;
    std::vector<key_write> writes;
    std::vector<std::string> deletions;
};

/// The change took effect at store revision `at`.
struct change_committed
{
    revision at = 0;
};

/// A condition failed, and the change had no effect. `current` holds the keys
/// of the conditions as they are now; keys that do not exist are left out.
struct change_conflict
{
    std::vector<key_value> current;
};

using change_outcome = std::variant<change_committed, change_conflict>;

/// A lease and the time after its last renewal at which it expires.
struct granted_lease
{
    lease_id lease = 0;
    std::chrono::milliseconds time_to_live{0};
};

/// The platform's key-value service for a thread that must not block. Each
/// call has its own timeout. Its callback is called exactly once, on the same
/// thread, after the call has returned. Not thread safe.
///
/// Errors: `platform_unavailable` (the call had no effect),
/// `platform_outcome_unknown` (a write may have taken effect or may do so
/// later), `platform_rate_limited`, `platform_timeout` (a read), `lease_lost`,
/// `corrupt_value` (a response that cannot be parsed). A response of an era
/// that is over counts as lost.
class asynchronous_store
{
public:
    template <class Value>
    using callback = std::function<void(result<Value>)>;

    asynchronous_store() = default;
    asynchronous_store(const asynchronous_store&) = delete;
    asynchronous_store& operator=(const asynchronous_store&) = delete;
    virtual ~asynchronous_store() = default;

    /// Returns the eras of the store. In a callback with a response, the
    /// current era is the one in which the store gave that response.
    [[nodiscard]] virtual store_era_tracker& eras() = 0;

    /// Reads all pages of the keys that start with `prefix`. The returned
    /// store revision is the one before the first page, so that a watch that
    /// continues from there misses no change.
    virtual void list(const std::string& prefix, callback<key_range> done) = 0;

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    virtual void watch(const std::string& prefix, revision after,
                       std::chrono::milliseconds wait,
                       callback<watch_batch> done) = 0;

    /// Applies a change atomically if all its conditions hold.
    virtual void commit(const store_change& change,
                        callback<change_outcome> done) = 0;

    /// Creates a lease.
    virtual void create_lease(std::chrono::milliseconds time_to_live,
                              callback<granted_lease> done) = 0;

    /// Renews a lease. Error: `lease_lost` if the lease has expired.
    virtual void renew_lease(lease_id lease, callback<std::monostate> done) = 0;

    /// Revokes a lease and deletes the keys bound to it.
    virtual void revoke_lease(lease_id lease,
                              callback<std::monostate> done) = 0;
};

} // namespace turmeric::ports
