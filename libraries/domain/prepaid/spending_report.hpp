#pragma once

#include <algorithm>
#include <cstdint>

namespace turmeric::domain
{

/// What one router incarnation has told its witnesses of its spending of one
/// account. Both numbers only grow.
struct spending_report
{
    /// The most tokens that it uses, holds for requests, lends and passes on
    /// until a later report.
    std::int64_t limit = 0;
    /// Tokens that it has got from peers.
    std::int64_t borrowed = 0;

    bool operator==(const spending_report&) const = default;

    /// Takes over what another report of the incarnation says, in any order.
    /// Not thread safe.
    void merge(const spending_report& other)
    {
        limit = std::max(limit, other.limit);
        borrowed = std::max(borrowed, other.borrowed);
    }

    /// Returns the most that the incarnation spends of what the store has
    /// granted to it. Thread safe.
    [[nodiscard]] std::int64_t max_spent_of_grants() const
    {
        return std::max<std::int64_t>(0, limit - borrowed);
    }
};

} // namespace turmeric::domain
