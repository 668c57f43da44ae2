#pragma once

#include <cstdint>

namespace turmeric::domain
{

/// A number of trials and how many of them had a property, the hits. A plain
/// value.
struct proportion
{
    std::int64_t trials = 0;
    std::int64_t hits = 0;

    /// Adds another count. Precondition: no trial is in both.
    proportion& operator+=(const proportion& other)
    {
        trials += other.trials;
        hits += other.hits;
        return *this;
    }

    bool operator==(const proportion&) const = default;
};

/// Returns the trials and hits counted since `earlier`. Thread safe.
[[nodiscard]] constexpr proportion operator-(const proportion& later,
                                             const proportion& earlier)
{
    return {later.trials - earlier.trials, later.hits - earlier.hits};
}

} // namespace turmeric::domain
