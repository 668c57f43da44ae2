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

/// Keys, leases and history in memory, as etcd keeps them. Thread safe: one
/// mutex guards all.
class key_value_state
{
public:
    /// Keeps the last `history_limit` changes for watches. Precondition:
    /// `clock` outlives the state.
    key_value_state(const ports::clock& clock, std::size_t history_limit);

    /// Runs a transaction. `lease_lost` and no effect if a put names a lease
    /// that does not exist. Thread safe.
    result<transaction_reply> run(const transaction& wanted);

    /// Reads a range. Thread safe.
    transaction_reply read(const range_operation& wanted);

    /// Creates a lease; id 0 means any. Returns the id. Thread safe.
    std::int64_t grant(std::int64_t id, std::chrono::seconds time_to_live);

    /// Renews a lease and returns its time to live; 0 s if there is none.
    /// Thread safe.
    std::chrono::seconds keep_alive(std::int64_t id);

    /// Ends a lease and deletes its keys; false if there is none. Thread
    /// safe.
    bool revoke(std::int64_t id);

    /// Waits up to `wait` until the store is past `start`, then returns the
    /// changes of the range from `start` on. Thread safe; blocks.
    watch_reply wait_for_events(const range_operation& range,
                                std::int64_t start,
                                std::chrono::milliseconds wait);

    /// Returns the store's revision. Thread safe.
    std::int64_t revision();

    /// Returns the number of keys. Thread safe.
    std::size_t size();

    /// Wakes all waits now and later. Thread safe.
    void stop();

private:
    struct lease_state
    {
        std::chrono::seconds time_to_live{0};
        ports::steady_time lapses_at;
        std::set<std::string> keys;
    };

    using key_map = std::map<std::string, stored_value>;

    // The functions below need the mutex held.
    void lapse_leases();
    void delete_lease(std::map<std::int64_t, lease_state>::iterator lease);
    [[nodiscard]] bool holds(const compare_operation& compare) const;
    [[nodiscard]] bool names_lost_lease(const operation& wanted) const;
    operation_reply apply(const range_operation& wanted,
                          std::int64_t revision) const;
    operation_reply apply(const put_operation& wanted, std::int64_t revision);
    operation_reply apply(const delete_operation& wanted,
                          std::int64_t revision);
    void erase_key(key_map::iterator entry, std::int64_t revision);
    void unbind(const std::string& key, std::int64_t lease);
    void record(store_event event);

    const ports::clock& m_clock;
    const std::size_t m_history_limit;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    key_map m_keys;
    std::map<std::int64_t, lease_state> m_leases;
    std::deque<store_event> m_history;
    std::int64_t m_revision = 1;
    /// Changes up to this revision are no longer in the history.
    std::int64_t m_compacted = 0;
    /// Changes recorded so far.
    std::int64_t m_recorded = 0;
    std::int64_t m_next_lease = 1;
    bool m_is_stopped = false;
};

} // namespace turmeric::standins
