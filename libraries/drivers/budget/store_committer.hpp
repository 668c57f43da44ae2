#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/budget/call_rate_limiter.hpp"
#include "libraries/domain/budget/shard_writer.hpp"
#include "libraries/drivers/budget/batch_committer.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/random_source.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Settings of `store_committer`.
struct store_committer_settings
{
    std::int32_t shard_count = 64;
    domain::shard_writer_settings writer;
    /// Limits the calls to the platform that this process makes for shards.
    double max_calls_per_second = 50.0;
    double max_call_burst = 20.0;
    /// Limits the encoded size of a shard; a larger value is never written.
    std::size_t max_value_bytes = 1'000'000;
};

/// Counts of a committer, for metrics.
struct committer_counts
{
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t conflicts = 0;
    std::int64_t unknown_outcomes = 0;
    std::int64_t failures = 0;
    std::int64_t bytes_written = 0;
};

/// Commits batches to the key-value service directly. Concurrent callers for
/// one shard share its calls: one of them, the leader, does the next
/// compare-and-swap for all waiting callers. Thread safe.
class store_committer final : public batch_committer
{
public:
    /// Precondition: all references outlive the committer.
    store_committer(ports::key_value_store& store, const ports::clock& clock,
                    ports::random_source& random, logger& log,
                    const store_committer_settings& settings,
                    const domain::grant_policy& policy);

    result<domain::batch_reply> commit(std::int32_t shard,
                                       const domain::router_batch& batch,
                                       ports::steady_time deadline) override;

    /// Returns the counts so far. Thread safe.
    [[nodiscard]] committer_counts counts() const;

    /// Returns the key of a shard in the store. Thread safe.
    [[nodiscard]] static std::string key_of(std::int32_t shard);

private:
    struct shard_state
    {
        explicit shard_state(const domain::shard_writer_settings& settings,
                             const domain::grant_policy& policy)
            : writer(settings, policy)
        {
        }

        std::mutex mutex;
        std::condition_variable changed;
        domain::shard_writer writer;
        bool has_leader = false;
        /// The replies that callers wait for; each is empty until its batch is
        /// written.
        std::map<domain::submission_number, std::optional<domain::batch_reply>>
            replies;
        std::optional<error> last_failure;
    };

    void make_due_call(std::int32_t shard, shard_state& state,
                       std::unique_lock<std::mutex>& lock);
    void read_shard(const std::string& key, shard_state& state,
                    std::unique_lock<std::mutex>& lock);
    void write_shard(const std::string& key, const domain::shard_call& call,
                     shard_state& state, std::unique_lock<std::mutex>& lock);
    void record_failure(shard_state& state, const error& failure);
    bool try_acquire_call();
    static error timeout_error(const shard_state& state);

    ports::key_value_store& m_store;
    const ports::clock& m_clock;
    ports::random_source& m_random;
    logger& m_log;
    store_committer_settings m_settings;
    std::vector<std::unique_ptr<shard_state>> m_shards;
    std::mutex m_limiter_mutex;
    domain::call_rate_limiter m_limiter;
    std::atomic<std::int64_t> m_reads{0};
    std::atomic<std::int64_t> m_writes{0};
    std::atomic<std::int64_t> m_conflicts{0};
    std::atomic<std::int64_t> m_unknown_outcomes{0};
    std::atomic<std::int64_t> m_failures{0};
    std::atomic<std::int64_t> m_bytes_written{0};
};

} // namespace turmeric::drivers
