#pragma once

#include "libraries/domain/budget/shard_changes.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace turmeric::domain
{

/// Identifies a submitted batch within one `shard_writer`.
using submission_number = std::uint64_t;

/// The store operation that a writer requests for its key.
enum class shard_call_kind : std::uint8_t
{
    read,
    write,
};

/// One call to the store. The caller reports its result with exactly one of
/// `on_read`, `on_written` and `on_failed`.
struct shard_call
{
    shard_call_kind kind = shard_call_kind::read;
    /// The shard to write, valid until the result is reported; nullptr for a
    /// read.
    const budget_shard* value = nullptr;
    /// The revision that the key must have for the write to take effect.
    ports::revision expected = 0;
};

/// The outcome of one submitted batch.
struct submission_reply
{
    submission_number number = 0;
    batch_reply reply;
};

/// Settings of `shard_writer`.
struct shard_writer_settings
{
    /// Minimum time between two writes of the key.
    std::chrono::milliseconds write_interval{100};
    std::chrono::milliseconds min_backoff{20};
    std::chrono::milliseconds max_backoff{2000};
    shard_limits limits;
};

/// State machine that merges the batches of many incarnations for one shard
/// into one compare-and-swap at a time. After an unknown outcome or a conflict
/// it reads the shard again; the operation numbers then show which batches took
/// effect. Not thread safe.
class shard_writer
{
public:
    /// Precondition: `policy` outlives the writer.
    shard_writer(const shard_writer_settings& settings,
                 const grant_policy& policy);

    /// Queues a batch. Not thread safe.
    submission_number submit(router_batch batch);

    /// Removes a batch whose caller no longer waits from the queue; if it is
    /// part of the call in flight, it may still take effect. Not thread safe.
    void withdraw(submission_number number);

    /// Returns when the next call is due; empty if no batch is queued or a call
    /// is in flight. Not thread safe.
    [[nodiscard]] std::optional<ports::steady_time> due_at() const;

    /// Starts the next call and returns it. Preconditions: `due_at()` is not
    /// empty and not after `now`. Not thread safe.
    shard_call start(ports::steady_time now, ports::system_time date);

    /// Reports that the key was read; `found` is empty if it does not exist.
    /// Not thread safe.
    void on_read(std::optional<budget_shard> found,
                 ports::revision modification_revision);

    /// Reports that the write took effect; returns the outcomes of its batches.
    /// Not thread safe.
    std::vector<submission_reply>
    on_written(ports::revision modification_revision);

    /// Reports that the call failed; `jitter` is uniform within 0 and 1. Not
    /// thread safe.
    void on_failed(result_code code, ports::steady_time now, double jitter);

    /// Returns the outcomes that the batches of the write in flight have if it
    /// takes effect. Not thread safe.
    [[nodiscard]] const std::vector<submission_reply>& proposed_replies() const;

    /// Returns the number of queued batches. Not thread safe.
    [[nodiscard]] std::size_t queue_size() const;

private:
    struct queued_batch
    {
        submission_number number = 0;
        router_batch batch;
    };

    void propose(ports::system_time date);

    shard_writer_settings m_settings;
    const grant_policy& m_policy;
    std::vector<queued_batch> m_queue;
    submission_number m_next_number = 1;
    /// The shard as last read or written; empty if it must be read.
    std::optional<budget_shard> m_cached_shard;
    ports::revision m_revision = 0;
    budget_shard m_proposed_shard;
    std::vector<submission_reply> m_proposed_replies;
    bool m_is_call_in_flight = false;
    ports::steady_time m_not_before;
    std::int32_t m_failures = 0;
};

} // namespace turmeric::domain
