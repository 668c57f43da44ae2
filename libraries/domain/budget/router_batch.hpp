#pragma once

#include "libraries/domain/budget/budget_shard.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// What an incarnation asks and reports about one budget.
struct budget_update
{
    /// "account/budget".
    std::string budget;
    /// Upper bounds of the requests that wait, oldest first; each is granted
    /// whole or not at all.
    std::vector<tokens> needs;
    /// Tokens given back.
    tokens returned = 0;
    /// Spend rate in tokens per minute.
    tokens rate = 0;
};

/// A bill to make durable.
struct pending_bill
{
    std::string budget;
    std::uint64_t key = 0;
    std::uint32_t body_digest = 0;
    tokens used = 0;
    /// When the router settled the hold.
    sys_seconds settled_at{};
    /// The answer was released on the strength of a copy elsewhere.
    bool is_delivered = false;
};

/// Everything that one incarnation has for one shard, applied as a whole.
/// Applying it again, in any order with later batches, has no effect.
struct router_batch
{
    std::string incarnation;
    /// 1 for the first batch, then one more each.
    std::int64_t operation = 0;
    sys_seconds term_end{};
    std::vector<budget_update> updates;
    std::vector<pending_bill> bills;
    /// The incarnation gives everything back and ends its record.
    bool is_leaving = false;
};

/// What became of a batch.
enum class batch_state : std::uint8_t
{
    applied,
    /// A newer batch took effect; this one is a late delivery.
    stale,
    /// The incarnation was closed: nothing in the batch took effect.
    closed,
    /// A bound of the shard is reached: nothing in the batch took effect.
    full,
};

/// Returns the name used on the wire. Thread safe.
[[nodiscard]] std::string_view name_of(batch_state state);

/// What became of a bill.
enum class bill_state : std::uint8_t
{
    billed,
    /// Durable before under the same id and body; not charged again.
    duplicate,
    /// The id was used with another body; not charged.
    reused,
    /// The incarnation is closed or its grant too small; not charged.
    refused,
    /// Too old to be told from a repeat; not charged, and not delivered.
    expired,
};

/// Returns the name used in logs. Thread safe.
[[nodiscard]] std::string_view name_of(bill_state state);

/// What a batch's incarnation learns about one budget.
struct budget_snapshot
{
    std::string budget;
    /// Granted to this incarnation and not settled.
    tokens outstanding = 0;
    /// Outstanding of the other incarnations.
    tokens outstanding_of_others = 0;
    /// Can still be granted.
    tokens pool = 0;
    /// Sum of all incarnations' rates, tokens per minute.
    tokens total_rate = 0;
    bool is_recalled = false;
};

/// The outcome of one bill, in the order of the batch.
struct bill_outcome
{
    std::uint64_t key = 0;
    bill_state state = bill_state::refused;
    /// The tokens on record for the request.
    tokens used = 0;
};

/// The outcome of a batch.
struct batch_reply
{
    batch_state state = batch_state::applied;
    bool is_frozen = false;
    std::vector<budget_snapshot> snapshots;
    std::vector<bill_outcome> bills;
};

} // namespace turmeric::domain
