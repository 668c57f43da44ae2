#pragma once

#include <cstdint>

namespace turmeric::domain
{

/// How many of a number of trials had a property. A plain value.
struct proportion
{
    std::int64_t trials = 0;
    std::int64_t hits = 0;

    /// Adds the trials of another, disjoint count.
    proportion& operator+=(const proportion& other)
    {
        trials += other.trials;
        hits += other.hits;
        return *this;
    }

    bool operator==(const proportion&) const = default;
};

/// Returns what was counted after `earlier` was taken. Thread safe.
[[nodiscard]] constexpr proportion operator-(const proportion& later,
                                             const proportion& earlier)
{
    return {later.trials - earlier.trials, later.hits - earlier.hits};
}

} // namespace turmeric::domain
