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

/// Names a submitted batch within one `shard_writer`.
using ticket = std::uint64_t;

/// What a writer wants done with its key.
enum class shard_call_kind : std::uint8_t
{
    read,
    write,
};

/// One call to the store, to be answered by one `on_...`.
struct shard_call
{
    shard_call_kind kind = shard_call_kind::read;
    /// Set for a write; valid until the answer.
    const budget_shard* value = nullptr;
    ports::revision expected = 0;
};

/// The outcome of one submitted batch.
struct ticket_reply
{
    ticket number = 0;
    batch_reply reply;
};

/// Settings of `shard_writer`.
struct shard_writer_settings
{
    /// The least time between two writes of the key.
    std::chrono::milliseconds write_interval{100};
    std::chrono::milliseconds min_backoff{20};
    std::chrono::milliseconds max_backoff{2000};
    shard_limits limits;
};

/// Merges the batches of many incarnations for one shard into one
/// compare-and-swap at a time, as a state machine. An unknown outcome or a
/// conflict leads to a read, after which the operation numbers tell what took
/// effect. Not thread safe.
class shard_writer
{
public:
    /// Precondition: `policy` outlives the writer.
    shard_writer(const shard_writer_settings& settings,
                 const grant_policy& policy);

    /// Queues a batch. Not thread safe.
    ticket submit(router_batch batch);

    /// Forgets a batch whose caller no longer waits; if it is under way it
    /// may still take effect. Not thread safe.
    void withdraw(ticket number);

    /// Returns when the next call is due; empty when nothing is queued or a
    /// call is under way. Not thread safe.
    [[nodiscard]] std::optional<ports::steady_time> due_at() const;

    /// Starts the next call. Precondition: `due_at()` is not after `now`. Not
    /// thread safe.
    shard_call start(ports::steady_time now, ports::system_time date);

    /// The key was read; `found` is empty when it does not exist. Not thread
    /// safe.
    void on_read(std::optional<budget_shard> found, ports::revision modified);

    /// The write took effect; returns the outcomes. Not thread safe.
    std::vector<ticket_reply> on_written(ports::revision modified);

    /// The call failed; `jitter` is uniform within 0 and 1. Not thread safe.
    void on_failed(result_code code, ports::steady_time now, double jitter);

    /// Returns the outcomes that the write under way will have if it takes
    /// effect. Not thread safe.
    [[nodiscard]] const std::vector<ticket_reply>& proposed() const;

    /// Returns the number of batches that wait. Not thread safe.
    [[nodiscard]] std::size_t queued() const;

private:
    struct queued_batch
    {
        ticket number = 0;
        router_batch batch;
    };

    void propose(ports::system_time date);

    shard_writer_settings m_settings;
    const grant_policy& m_policy;
    std::vector<queued_batch> m_queue;
    ticket m_next_ticket = 1;
    /// The newest value known, or empty when a read is needed.
    std::optional<budget_shard> m_known;
    ports::revision m_revision = 0;
    budget_shard m_proposed;
    std::vector<ticket_reply> m_replies;
    bool m_is_busy = false;
    ports::steady_time m_not_before;
    std::int32_t m_failures = 0;
};

} // namespace turmeric::domain
