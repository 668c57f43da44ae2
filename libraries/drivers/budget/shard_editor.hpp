#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/shard_changes.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/random_source.hpp"

#include <cstdint>
#include <functional>

namespace turmeric::drivers
{

/// Changes a shard and returns whether it must be written. Must be idempotent:
/// it may run several times, on different values of the shard.
using shard_edit =
    std::function<result<domain::change>(domain::budget_shard& shard)>;

/// Changes single shards by a read and a compare-and-swap. After a conflict or
/// an unknown outcome the shard is read again and the edit is repeated. Thread
/// safe.
class shard_editor
{
public:
    /// Precondition: all references outlive the editor.
    shard_editor(ports::key_value_store& store, const ports::clock& clock,
                 ports::random_source& random);

    /// Runs `edit` until its change is durable. Thread safe; blocks until
    /// `deadline` at most.
    ///
    /// Errors: those of `edit` and of the store. The change may have taken
    /// effect if the error's effect is `outcome_unknown`.
    result<domain::change> apply(std::int32_t shard, const shard_edit& edit,
                                 ports::steady_time deadline);

    /// Reads a shard. Returns an empty one if it does not exist in the store.
    /// Thread safe; blocks.
    ///
    /// Errors: those of the store, `corrupt_value`.
    result<domain::budget_shard> read(std::int32_t shard);

    /// Applies an operator's top-up. Thread safe; blocks.
    ///
    /// Errors: those of `domain::apply_top_up` and of the store.
    result<domain::change> top_up(const domain::top_up& added,
                                  std::int32_t shard_count,
                                  const domain::shard_limits& limits,
                                  ports::steady_time deadline);

    /// Ends all backoff waits at once. Thread safe.
    void stop();

private:
    struct versioned_shard
    {
        domain::budget_shard shard;
        ports::revision modification_revision = 0;
    };

    result<versioned_shard> read_versioned(std::int32_t shard);
    result<domain::change> try_edit(std::int32_t shard, const shard_edit& edit);

    ports::key_value_store& m_store;
    const ports::clock& m_clock;
    ports::random_source& m_random;
    stop_signal m_stop;
};

} // namespace turmeric::drivers
