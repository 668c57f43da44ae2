#include "libraries/domain/membership/locate.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace turmeric::domain
{

namespace
{

struct ranked_router
{
    std::uint64_t rank = 0;
    const member_row* row = nullptr;
};

std::vector<ranked_router> rank_located(const membership_snapshot& snapshot,
                                        const std::string& account)
{
    std::uint64_t key = digest_of(account);
    bool has_share =
        std::any_of(snapshot.members.begin(), snapshot.members.end(),
                    [](const member_status& status)
                    { return status.is_located && status.row.share > 0; });
    std::vector<ranked_router> ranked;
    for (const member_status& status : snapshot.members)
    {
        // A router without a share of any upstream could only queue.
        if (status.is_located && (status.row.share > 0 || !has_share))
        {
            std::uint64_t digest = digest_of(status.row.who.incarnation);
            ranked.push_back({rank_of(key, digest), &status.row});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_router& left, const ranked_router& right)
              { return left.rank > right.rank; });
    return ranked;
}

/// Callers go where slots are free; a full router keeps a little weight so
/// that a late report does not shut it out.
std::int64_t weight_of(const member_row& row)
{
    constexpr std::int64_t least_part = 16;
    std::int64_t least = std::max<std::int64_t>(row.share / least_part, 1);
    return std::max(row.share - row.load, least);
}

std::size_t subset_size(std::size_t routers, double traffic_part,
                        const locate_limits& limits)
{
    double part = std::clamp(traffic_part, 0.0, 1.0);
    double wanted =
        std::ceil(static_cast<double>(routers) * part * limits.headroom);
    return std::max(limits.least_routers, static_cast<std::size_t>(wanted));
}

} // namespace

locate_answer locate(const membership_snapshot& snapshot,
                     const locate_request& request, const locate_limits& limits)
{
    std::vector<ranked_router> ranked = rank_located(snapshot, request.account);
    std::size_t chosen =
        subset_size(ranked.size(), request.traffic_part, limits);
    std::size_t named = std::min(ranked.size(), chosen + limits.spare_routers);
    locate_answer answer{{}, limits.time_to_live};
    for (std::size_t index = 0; index < named; ++index)
    {
        const member_row& row = *ranked[index].row;
        std::int64_t weight = index < chosen ? weight_of(row) : 0;
        answer.routers.push_back(
            {row.who.address, row.who.data_centre, weight});
    }
    return answer;
}

} // namespace turmeric::domain
