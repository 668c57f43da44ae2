#include "libraries/domain/prepaid/grant_ceiling.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

/// How much faster an account may be consumed than at its recent rate before
/// its ceiling holds it back.
constexpr std::int64_t covered_rate_growth = 4;
/// The inverse of the part of the remaining tokens that an account may be
/// granted within `covered_copy_age`, however slowly it was consumed before. If
/// all routers are lost, what they held is granted again to those that follow:
/// almost a third of the remaining tokens at once.
constexpr std::int64_t min_headroom_divisor = 2;

bool is_lower(const std::optional<std::int64_t>& one,
              const std::optional<std::int64_t>& other)
{
    return one && (!other || *one < *other);
}

} // namespace

std::optional<std::int64_t> choose_ceiling(std::int64_t granted_in_all,
                                           std::int64_t prepaid_tokens,
                                           std::int64_t tokens_per_second)
{
    const std::int64_t remaining =
        std::max<std::int64_t>(0, prepaid_tokens - granted_in_all);
    const std::int64_t headroom = std::max(
        tokens_per_second * covered_rate_growth * covered_copy_age.count(),
        remaining / min_headroom_divisor);
    if (tokens_per_second <= 0 || headroom >= remaining)
    {
        return std::nullopt;
    }
    return granted_in_all + headroom;
}

grant_ceiling advance_ceiling(grant_ceiling ceiling,
                              const ceiling_change& change)
{
    if (change.is_next_due)
    {
        ceiling.now = ceiling.next;
    }
    const std::optional<std::int64_t> previous = ceiling.next;
    if (is_lower(change.wanted, ceiling.next) && change.may_lower)
    {
        ceiling.next = change.wanted;
        if (is_lower(change.wanted, ceiling.now))
        {
            ceiling.now = change.wanted;
        }
    }
    // A raise waits while an earlier one does: each new `next` restarts the
    // wait of `covered_copy_age`, so frequent ones would never come into force.
    else if (is_lower(ceiling.next, change.wanted) ||
             (ceiling.next && !change.wanted))
    {
        if (ceiling.now == ceiling.next)
        {
            ceiling.next = change.wanted;
        }
    }
    if (ceiling.next != previous)
    {
        ceiling.next_since_version = change.version;
    }
    return ceiling;
}

std::int64_t tokens_below(const grant_ceiling& ceiling,
                          std::int64_t granted_in_all,
                          std::int64_t prepaid_tokens)
{
    const std::int64_t most =
        std::min(prepaid_tokens, ceiling.now.value_or(prepaid_tokens));
    return std::max<std::int64_t>(0, most - granted_in_all);
}

std::int64_t granted_at_most_since(const grant_ceiling& copied,
                                   std::int64_t granted_in_all,
                                   std::int64_t prepaid_tokens)
{
    return std::max(granted_in_all, copied.next.value_or(prepaid_tokens));
}

} // namespace turmeric::domain
