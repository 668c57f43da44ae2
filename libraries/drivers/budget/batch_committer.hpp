#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/router_batch.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>

namespace turmeric::drivers
{

/// Commits batches of a router to the shards of the budgets. Implementations
/// are thread safe.
class batch_committer
{
public:
    batch_committer() = default;
    batch_committer(const batch_committer&) = delete;
    batch_committer& operator=(const batch_committer&) = delete;
    virtual ~batch_committer() = default;

    /// Applies `batch` to the shard durably and returns the outcome. After an
    /// error the batch may or may not have taken effect. Committing the same
    /// batch again, with this or another committer, is safe. Thread safe;
    /// blocks until `deadline` at most.
    ///
    /// Errors: those of `ports::key_value_store`, `corrupt_value`,
    /// `peer_unavailable`, `peer_protocol`.
    virtual result<domain::batch_reply>
    commit(std::int32_t shard, const domain::router_batch& batch,
           ports::steady_time deadline) = 0;
};

} // namespace turmeric::drivers
