#pragma once

#include "libraries/fakes/manual_clock.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace turmeric::fakes
{

/// A fault of one call: whether it takes effect, and the error it returns.
enum class store_fault : std::uint8_t
{
    none,
    /// No effect, `platform_unavailable`.
    unavailable,
    /// The write takes effect, `platform_outcome_unknown`.
    lost_reply,
    /// The write has no effect, `platform_outcome_unknown`.
    lost_request,
    /// The write is delayed until `apply_delayed_writes`,
    /// `platform_outcome_unknown`.
    delayed_effect,
    /// No effect, `platform_conflict`.
    conflict,
    /// No effect, `platform_rate_limited`.
    rate_limited,
};

/// Number of calls to the store and of bytes written.
struct store_counts
{
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t bytes_written = 0;
};

/// An in-memory key-value store with scripted faults. Thread safe as far as its
/// clock is.
class fake_key_value_store final : public ports::key_value_store
{
public:
    /// `clock` is used for the expiry of leases. Precondition: it outlives the
    /// store.
    explicit fake_key_value_store(const ports::clock& clock);

    /// Appends faults to the script. The next calls take one each, in order.
    /// Thread safe.
    void script(const std::vector<store_fault>& faults);

    /// Removes the remaining faults of the script. Thread safe.
    void clear_script();

    /// While set, every call fails with `platform_unavailable`. Thread safe.
    void set_outage(bool is_unavailable);

    /// Every call advances `clock` by `delay`; a null clock removes the delay.
    /// Thread safe.
    void set_delay(manual_clock* clock, std::chrono::nanoseconds delay);

    /// Sets a function that runs before each `get` and `compare_and_swap`,
    /// outside the store's lock. Not thread safe: set it before the store is
    /// shared.
    void set_hook(std::function<void()> hook);

    /// Attempts the delayed writes, each under its original condition. Thread
    /// safe.
    void apply_delayed_writes();

    /// Returns the counts up to now. Thread safe.
    [[nodiscard]] store_counts counts() const;

    result<std::optional<ports::key_value>>
    get(const std::string& key) override;
    result<ports::key_range> list(const std::string& prefix) override;
    result<ports::revision> compare_and_swap(const std::string& key,
                                             const std::string& value,
                                             ports::revision expected,
                                             ports::lease_id lease) override;
    status compare_and_delete(const std::string& key,
                              ports::revision expected) override;
    result<ports::lease_id>
    create_lease(std::chrono::seconds time_to_live) override;
    status renew_lease(ports::lease_id lease) override;
    status revoke_lease(ports::lease_id lease) override;
    result<ports::watch_batch> watch(const std::string& prefix,
                                     ports::revision start,
                                     std::chrono::milliseconds wait) override;

private:
    struct stored_value
    {
        std::string value;
        ports::revision modification_revision = 0;
        ports::lease_id lease = 0;
    };

    struct lease
    {
        std::chrono::seconds time_to_live{0};
        ports::steady_time expires_at;
    };

    struct delayed_write
    {
        std::string key;
        std::string value;
        ports::revision expected = 0;
        ports::lease_id lease = 0;
    };

    store_fault begin_call(bool is_write);
    void expire_leases();
    void erase_keys_of_lease(ports::lease_id lease);
    result<ports::revision> swap(const delayed_write& write);

    const ports::clock& m_clock;
    mutable std::mutex m_mutex;
    std::function<void()> m_hook;
    std::deque<store_fault> m_script;
    bool m_is_unavailable = false;
    manual_clock* m_delay_clock = nullptr;
    std::chrono::nanoseconds m_delay{0};
    store_counts m_counts;
    std::map<std::string, stored_value> m_keys;
    std::map<ports::lease_id, lease> m_leases;
    std::vector<delayed_write> m_delayed_writes;
    std::vector<ports::key_event> m_events;
    ports::revision m_revision = 0;
    ports::revision m_compacted_revision = 0;
    ports::lease_id m_next_lease = 1;
};

} // namespace turmeric::fakes
