#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// What an incarnation requests and reports about one budget.
struct budget_update
{
    /// "account/budget".
    std::string budget;
    /// Tokens that the waiting requests still need, oldest first; each need is
    /// granted in full or not at all.
    std::vector<tokens> needs;
    /// Unused tokens that the incarnation returns.
    tokens returned = 0;
    /// Spend rate in tokens per minute.
    tokens rate = 0;
};

/// A bill that is not durable yet.
struct pending_bill
{
    /// "account/budget".
    std::string budget;
    /// From `bill_key`.
    std::uint64_t key = 0;
    std::uint32_t body_digest = 0;
    tokens used = 0;
    /// When the router settled the hold.
    sys_seconds settled_at{};
    /// The response was delivered before the bill is durable, because a copy of
    /// the bill is kept outside this router.
    bool is_delivered = false;
};

/// All updates and bills that one incarnation commits to one shard, applied
/// atomically. Applying a batch again, before or after later batches, has no
/// effect.
struct router_batch
{
    std::string incarnation;
    /// Sequence number of the batch, starting at 1.
    std::int64_t operation = 0;
    sys_seconds term_end{};
    std::vector<budget_update> updates;
    std::vector<pending_bill> bills;
    /// The incarnation returns all its tokens and its record is removed.
    bool is_leaving = false;
};

/// The result of a batch.
enum class batch_state : std::uint8_t
{
    applied,
    /// A newer batch already took effect; this one arrived late.
    stale,
    /// The incarnation was closed: nothing in the batch took effect.
    closed,
    /// A limit of the shard is reached: nothing in the batch took effect.
    full,
};

/// Returns the name of the state. Thread safe.
[[nodiscard]] std::string_view name_of(batch_state state);

/// The result of a bill.
enum class bill_state : std::uint8_t
{
    billed,
    /// A bill with the same request id and body is already durable; not
    /// charged again.
    duplicate,
    /// The request id was used with another body; not charged.
    reused,
    /// The incarnation is closed or its grant is too small; not charged.
    refused,
    /// Too old to be distinguished from a repeat; not charged, and the
    /// response is not delivered.
    expired,
};

/// Returns the name of the state. Thread safe.
[[nodiscard]] std::string_view name_of(bill_state state);

/// The state of one budget as a batch reply reports it to the incarnation.
struct budget_snapshot
{
    std::string budget;
    /// Tokens granted to this incarnation and not settled.
    tokens outstanding = 0;
    /// Tokens granted to the other incarnations and not settled.
    tokens outstanding_of_others = 0;
    /// Tokens that can still be granted.
    tokens pool = 0;
    /// Sum of all incarnations' spend rates in tokens per minute.
    tokens total_rate = 0;
    /// Incarnations must return the tokens that their holds do not reserve.
    bool is_recalled = false;
};

/// The outcome of one bill.
struct bill_outcome
{
    std::uint64_t key = 0;
    bill_state state = bill_state::refused;
    /// The tokens recorded for the request.
    tokens used = 0;
};

/// The outcome of a batch; `bills` are in the order of the batch.
struct batch_reply
{
    batch_state state = batch_state::applied;
    /// The incarnation is granted no more tokens.
    bool is_frozen = false;
    std::vector<budget_snapshot> snapshots;
    std::vector<bill_outcome> bills;
};

} // namespace turmeric::domain
