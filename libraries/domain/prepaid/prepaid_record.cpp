#include "libraries/domain/prepaid/prepaid_record.hpp"

#include <algorithm>
#include <cmath>

namespace turmeric::domain
{

namespace
{

/// How long a router can go on without the store.
constexpr double bridged_seconds = 10.0;
constexpr double bridged_seconds_leaving = 3.0;
/// How many standard deviations of the consumption are covered.
constexpr double scatter_multiple = 1.0;
/// The part of its fair share that a router gets whatever its rate.
constexpr std::int64_t least_divisor = 16;
/// The part of all that is left that routers hold together at most.
constexpr double most_part = 0.3;
/// Below this part of the total routers hold less of what is left, since
/// tokens that are stranded by a kill are then missed soon: the account can
/// not be used up, and all later requests are refused though they would fit.
constexpr double ample_part = 0.5;
/// Below this part of the wanted stock a router asks for more.
constexpr double low_mark = 0.9;
/// Above this multiple of the wanted stock a router gives some back.
constexpr double high_mark = 1.2;

/// Returns the part of `pool` that routers hold together at most.
double held_part(std::int64_t pool, std::int64_t total)
{
    const double ample = ample_part * static_cast<double>(total);
    if (ample <= 0 || static_cast<double>(pool) >= ample)
    {
        return most_part;
    }
    const double part = static_cast<double>(pool) / ample;
    return most_part * part * part;
}

} // namespace

prepaid_record apply_grant_change(prepaid_record record,
                                  const std::string& incarnation,
                                  std::int64_t own_granted, std::int64_t tokens,
                                  const std::set<std::string>& members)
{
    record.granted_in_all += tokens;
    record.granted_to[incarnation] = own_granted + tokens;
    std::erase_if(record.granted_to,
                  [&](const auto& entry) {
                      return entry.first != incarnation &&
                             members.count(entry.first) == 0;
                  });
    return record;
}

std::int64_t compute_grant_change(const grant_demand& demand)
{
    const std::int64_t rest = std::max<std::int64_t>(
        0, demand.prepaid_tokens - demand.granted_in_all);
    const std::int64_t free = std::max<std::int64_t>(0, demand.free);
    const std::int64_t routers = std::max<std::int64_t>(1, demand.routers);
    const std::int64_t pool = rest + demand.peers_free + free;
    const std::int64_t fair = pool / routers;
    const double all_rates =
        demand.tokens_per_second + demand.peers_tokens_per_second;
    const double share = all_rates < 1.0 ? 1.0 / static_cast<double>(routers)
                                         : demand.tokens_per_second / all_rates;
    const std::int64_t most =
        static_cast<std::int64_t>(held_part(pool, demand.prepaid_tokens) *
                                  share * static_cast<double>(pool));
    const double seconds =
        demand.is_leaving ? bridged_seconds_leaving : bridged_seconds;
    const double mean = demand.tokens_per_second * seconds;
    // What so many requests consume scatters as the root of their number.
    const double scatter =
        scatter_multiple *
        std::sqrt(mean * static_cast<double>(demand.typical_hold));
    const std::int64_t bridging = static_cast<std::int64_t>(mean + scatter);
    const std::int64_t least = demand.is_leaving ? 0 : fair / least_divisor;
    const std::int64_t wanted = std::max(least, std::min(bridging, most));
    if (demand.lacking > 0)
    {
        return std::min(rest, std::max(demand.lacking, wanted - free));
    }
    const double stock = static_cast<double>(free);
    if (stock < low_mark * static_cast<double>(wanted))
    {
        return std::min(rest, wanted - free);
    }
    if (stock > high_mark * static_cast<double>(wanted))
    {
        return wanted - free;
    }
    return 0;
}

} // namespace turmeric::domain
