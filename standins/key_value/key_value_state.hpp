#pragma once

#include "libraries/core/result.hpp"
#include "libraries/ports/clock.hpp"
#include "standins/key_value/operations.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace turmeric::standins
{

/// Keys, leases and the history of changes in memory, with the semantics of
/// etcd. Thread safe: one mutex guards all members.
class key_value_state
{
public:
    /// Keeps the last `max_history_events` changes for watches. Precondition:
    /// `clock` outlives the state.
    key_value_state(const ports::clock& clock, std::size_t max_history_events);

    /// Runs a transaction atomically. Fails with `lease_lost`, without an
    /// effect, if a put of the chosen branch names a lease that does not exist.
    /// Thread safe.
    result<transaction_reply> run(const transaction& request);

    /// Reads the keys of a range. Thread safe.
    transaction_reply read(const range_operation& range);

    /// Creates a lease and returns its id, which is a new one if `id` is 0 or
    /// in use. Thread safe.
    std::int64_t grant_lease(std::int64_t id,
                             std::chrono::seconds time_to_live);

    /// Renews a lease and returns its time to live; 0 s if the lease does not
    /// exist. Thread safe.
    std::chrono::seconds renew_lease(std::int64_t id);

    /// Ends a lease and deletes its keys; returns false if the lease does not
    /// exist. Thread safe.
    bool revoke_lease(std::int64_t id);

    /// Blocks up to `wait` until the revision reaches `start`, then returns
    /// the changes in the range from revision `start` on; only the compacted
    /// revision if the history no longer reaches back to `start`. Thread safe.
    watch_reply wait_for_events(const range_operation& range,
                                std::int64_t start,
                                std::chrono::milliseconds wait);

    /// Keeps a copy of the present content. Thread safe.
    void take_copy();

    /// Replaces the content by that of the copy: later changes and leases are
    /// lost, and their numbers are given out again. Begins a new era. Waits for
    /// events end. Thread safe.
    void restore_copy();

    /// Returns the number of the era, from 1. Thread safe.
    std::int64_t era();

    /// Returns the current revision of the store. Thread safe.
    std::int64_t revision();

    /// Returns the number of keys. Thread safe.
    std::size_t key_count();

    /// Ends all waits, and makes later ones return at once. Thread safe.
    void stop();

private:
    struct lease_state
    {
        std::chrono::seconds time_to_live{0};
        ports::steady_time expires_at;
        std::set<std::string> keys;
    };

    using key_map = std::map<std::string, stored_value>;

    /// All that a copy keeps.
    struct content
    {
        key_map keys;
        std::map<std::int64_t, lease_state> leases;
        std::deque<store_event> history;
        std::int64_t revision = 1;
        /// Changes up to this revision may be missing from the history.
        std::int64_t compacted_revision = 0;
        /// The number of changes recorded since the start.
        std::int64_t recorded_events = 0;
        std::int64_t next_lease_id = 1;
    };

    // The caller of the functions below holds the mutex.
    void expire_leases();
    void delete_lease(std::map<std::int64_t, lease_state>::iterator lease);
    [[nodiscard]] bool is_satisfied(const compare_operation& compare) const;
    [[nodiscard]] bool has_missing_lease(const operation& requested) const;
    operation_reply apply(const range_operation& range,
                          std::int64_t revision) const;
    operation_reply apply(const put_operation& put, std::int64_t revision);
    operation_reply apply(const delete_operation& deletion,
                          std::int64_t revision);
    void erase_key(key_map::iterator entry, std::int64_t revision);
    void detach_from_lease(const std::string& key, std::int64_t lease);
    void record_event(store_event event);

    const ports::clock& m_clock;
    const std::size_t m_max_history_events;
    std::mutex m_mutex;
    std::condition_variable m_state_changed;
    content m_content;
    content m_copy;
    std::int64_t m_era = 1;
    bool m_is_stopped = false;
};

} // namespace turmeric::standins
