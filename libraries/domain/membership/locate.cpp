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

std::vector<ranked_router> rank_eligible(const membership_snapshot& snapshot,
                                         const std::string& account)
{
    std::uint64_t key = digest_of(account);
    bool has_share =
        std::any_of(snapshot.members.begin(), snapshot.members.end(),
                    [](const member_status& status)
                    { return status.is_eligible && status.row.share > 0; });
    std::vector<ranked_router> ranked;
    for (const member_status& status : snapshot.members)
    {
        // A router without a share of any upstream can only queue requests.
        if (status.is_eligible && (status.row.share > 0 || !has_share))
        {
            std::uint64_t digest = digest_of(status.row.identity.incarnation);
            ranked.push_back({rank_of(key, digest), &status.row});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_router& left, const ranked_router& right)
              { return left.rank > right.rank; });
    return ranked;
}

/// Returns the number of free slots. A full router keeps a small weight, so
/// that an outdated load report does not exclude it.
std::int64_t weight_of(const member_row& row)
{
    constexpr std::int64_t min_weight_divisor = 16;
    std::int64_t min_weight =
        std::max<std::int64_t>(row.share / min_weight_divisor, 1);
    return std::max(row.share - row.load, min_weight);
}

std::size_t subset_size(std::size_t routers, double traffic_fraction,
                        const locate_limits& limits)
{
    double fraction = std::clamp(traffic_fraction, 0.0, 1.0);
    double target_count =
        std::ceil(static_cast<double>(routers) * fraction * limits.headroom);
    return std::max(limits.min_routers, static_cast<std::size_t>(target_count));
}

} // namespace

locate_response locate(const membership_snapshot& snapshot,
                       const locate_request& request,
                       const locate_limits& limits)
{
    std::vector<ranked_router> ranked =
        rank_eligible(snapshot, request.account);
    std::size_t chosen_count =
        subset_size(ranked.size(), request.traffic_fraction, limits);
    std::size_t listed_count =
        std::min(ranked.size(), chosen_count + limits.failover_routers);
    locate_response response{{}, limits.time_to_live};
    for (std::size_t index = 0; index < listed_count; ++index)
    {
        const member_row& row = *ranked[index].row;
        std::int64_t weight = index < chosen_count ? weight_of(row) : 0;
        response.routers.push_back(
            {row.identity.address, row.identity.data_centre, weight});
    }
    return response;
}

} // namespace turmeric::domain
