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
/// More ends add nothing to the verdict.
constexpr std::size_t max_ends_of_part = 4;
constexpr std::size_t max_ends_of_request = 64;
/// Parts of one prompt that become suspects; callers choose their number.
constexpr std::size_t max_parts_per_prompt = 256;

/// Returns whether `later` was at a time of its own.
bool is_separate(const observed_end& earlier, const observed_end& later)
{
    return later.incarnation != earlier.incarnation &&
           later.at - earlier.at >= min_end_distance &&
           later.output_at > earlier.at;
}

/// Returns whether an end is not one of those that a suspect has.
bool is_new(const suspect_part& suspect, const observed_end& added)
{
    const bool is_request = suspect.id.kind == suspect_kind::request;
    return std::all_of(suspect.ends.begin(), suspect.ends.end(),
                       [&](const observed_end& known)
                       {
                           if (is_request)
                           {
                               return known.incarnation != added.incarnation;
                           }
                           return known.at <= added.at
                                      ? is_separate(known, added)
                                      : is_separate(added, known);
                       });
}

/// Returns whether an upstream ended between `first` and `last`, or shortly
/// before or after, under which the suspect did not run.
bool has_other_end(
    const suspect_part& suspect, ports::steady_time first,
    ports::steady_time last,
    const std::multimap<ports::steady_time, std::uint64_t>& all_ends)
{
    const auto begin = all_ends.lower_bound(first - min_end_distance);
    const auto end = all_ends.upper_bound(last + min_end_distance);
    return std::any_of(begin, end,
                       [&](const auto& one)
                       {
                           return std::none_of(
                               suspect.ends.begin(), suspect.ends.end(),
                               [&](const observed_end& known)
                               { return known.incarnation == one.second; });
                       });
}

} // namespace

std::vector<suspect_id> list_shared_parts(const prompt_description& prompt)
{
    constexpr std::size_t own_parts = 1;
    const std::size_t shared =
        prompt.parts.size() - std::min(own_parts, prompt.parts.size());
    std::vector<suspect_id> ids;
    for (std::size_t part = 0; part < std::min(shared, max_parts_per_prompt);
         ++part)
    {
        ids.push_back({suspect_kind::prompt_part, prompt.parts[part].id});
    }
    return ids;
}

std::size_t
count_ends(const suspect_part& suspect,
           const std::multimap<ports::steady_time, std::uint64_t>& all_ends)
{
    if (suspect.id.kind == suspect_kind::prompt_part)
    {
        return suspect.ends.size();
    }
    std::size_t counted = 0;
    auto first = suspect.ends.begin();
    while (first != suspect.ends.end())
    {
        const ports::steady_time window_end = first->at + min_end_distance;
        const auto after = std::find_if(first, suspect.ends.end(),
                                        [window_end](const observed_end& one)
                                        { return one.at >= window_end; });
        const std::size_t size =
            static_cast<std::size_t>(std::distance(first, after));
        const bool has_common_cause =
            has_other_end(suspect, first->at, std::prev(after)->at, all_ends);
        counted += has_common_cause ? 1 : size;
        first = after;
    }
    return counted;
}

bool add_end(suspect_part& suspect, const observed_end& added)
{
    const bool is_cleared =
        suspect.cleared_at && added.at <= *suspect.cleared_at;
    const std::size_t max_ends = suspect.id.kind == suspect_kind::request
                                     ? max_ends_of_request
                                     : max_ends_of_part;
    if (is_cleared || suspect.ends.size() >= max_ends ||
        !is_new(suspect, added))
    {
        return false;
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
    if (suspect.ends.size() < ends_to_block)
    {
        suspect.trials = 0;
    }
    return erased > 0;
}

suspect_part make_blocked_part(const suspect_id& id,
                               ports::steady_time blocked_at,
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
