#include "libraries/domain/crashing_parts/suspect_part.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace turmeric::domain
{

namespace
{

/// Ends of upstreams that are closer count as one, because a common cause ends
/// several upstreams at about the same time.
constexpr std::chrono::milliseconds min_end_distance{500};
constexpr std::size_t ends_to_block = 3;
/// More ends add nothing to the verdict.
constexpr std::size_t max_ends = 4;

/// Returns whether `later` was at a time of its own.
bool is_separate(const observed_end& earlier, const observed_end& later)
{
    return later.incarnation != earlier.incarnation &&
           later.at - earlier.at >= min_end_distance &&
           later.output_at > earlier.at;
}

} // namespace

bool add_end(suspect_part& suspect, const observed_end& added)
{
    const bool is_cleared =
        suspect.cleared_at && added.at <= *suspect.cleared_at;
    if (is_cleared || suspect.ends.size() >= max_ends)
    {
        return false;
    }
    for (const observed_end& known : suspect.ends)
    {
        const bool is_own_time = known.at <= added.at
                                     ? is_separate(known, added)
                                     : is_separate(added, known);
        if (!is_own_time)
        {
            return false;
        }
    }
    const auto position =
        std::upper_bound(suspect.ends.begin(), suspect.ends.end(), added,
                         [](const observed_end& left, const observed_end& right)
                         { return left.at < right.at; });
    suspect.ends.insert(position, added);
    return true;
}

bool clear_until(suspect_part& suspect, ports::steady_time cleared_at)
{
    suspect.cleared_at =
        std::max(suspect.cleared_at.value_or(cleared_at), cleared_at);
    const std::size_t erased =
        std::erase_if(suspect.ends, [&](const observed_end& one)
                      { return one.at <= *suspect.cleared_at; });
    if (!is_part_blocked(suspect))
    {
        suspect.trials = 0;
    }
    return erased > 0;
}

bool is_part_blocked(const suspect_part& suspect)
{
    return suspect.ends.size() >= ends_to_block;
}

suspect_part make_blocked_part(std::uint64_t id, ports::steady_time blocked_at,
                               ports::steady_time now)
{
    suspect_part blocked;
    blocked.id = id;
    blocked.last_seen = now;
    blocked.trials = 1;
    for (std::size_t end = 0; end < ends_to_block; ++end)
    {
        const ports::steady_time at =
            blocked_at - min_end_distance * (ends_to_block - 1 - end);
        blocked.ends.push_back({end, at, at});
    }
    return blocked;
}

} // namespace turmeric::domain
