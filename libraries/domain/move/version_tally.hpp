#pragma once

#include "libraries/domain/move/proportion.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace turmeric::domain
{

/// The properties by which a version is judged.
enum class judged_property : std::uint8_t
{
    failure,
    slow_first_token,
    slow_token_gap,
};

inline constexpr std::size_t judged_property_count = 3;

/// Returns the name used in reports. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(judged_property property)
{
    constexpr std::array<std::string_view, judged_property_count> names = {
        "failure", "slow_first_token", "slow_token_gap"};
    return names[static_cast<std::size_t>(property)];
}

/// The proportions of failed and slow requests of a version on one route. A
/// plain value.
struct version_tally
{
    std::array<proportion, judged_property_count> counts;

    /// Returns the count of one property.
    [[nodiscard]] const proportion& of(judged_property property) const
    {
        return counts[static_cast<std::size_t>(property)];
    }

    /// Adds another tally. Precondition: no request was counted in both.
    version_tally& operator+=(const version_tally& other)
    {
        for (std::size_t index = 0; index < counts.size(); ++index)
        {
            counts[index] += other.counts[index];
        }
        return *this;
    }

    bool operator==(const version_tally&) const = default;
};

/// Returns the counts since `earlier`. Thread safe.
[[nodiscard]] constexpr version_tally operator-(const version_tally& later,
                                                const version_tally& earlier)
{
    version_tally result;
    for (std::size_t index = 0; index < result.counts.size(); ++index)
    {
        result.counts[index] = later.counts[index] - earlier.counts[index];
    }
    return result;
}

/// The tallies of the old and the new version. A plain value.
struct tally_pair
{
    version_tally from;
    version_tally to;

    /// Adds another tally. Precondition: no request was counted in both.
    tally_pair& operator+=(const tally_pair& other)
    {
        from += other.from;
        to += other.to;
        return *this;
    }

    bool operator==(const tally_pair&) const = default;
};

/// Returns the counts since `earlier`. Thread safe.
[[nodiscard]] constexpr tally_pair operator-(const tally_pair& later,
                                             const tally_pair& earlier)
{
    return {later.from - earlier.from, later.to - earlier.to};
}

} // namespace turmeric::domain
