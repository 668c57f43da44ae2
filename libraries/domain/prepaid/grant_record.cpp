#include "libraries/domain/prepaid/grant_record.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

/// How long a router can go on without the store.
constexpr double bridged_seconds = 12.0;
/// The part of its fair share that a router gets whatever its rate.
constexpr std::int64_t first_divisor = 3;
/// Below this part of the wanted stock a router asks for more.
constexpr double low_mark = 0.85;

} // namespace

grant_record change_grant(grant_record record, const std::string& incarnation,
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

std::int64_t size_grant(const grant_demand& demand)
{
    const std::int64_t rest = std::max<std::int64_t>(
        0, demand.prepaid_tokens - demand.granted_in_all);
    const std::int64_t routers = std::max<std::int64_t>(1, demand.routers);
    const std::int64_t fair =
        (rest + demand.peers_free + std::max<std::int64_t>(0, demand.free)) /
        routers;
    const std::int64_t bridging =
        static_cast<std::int64_t>(demand.tokens_per_second * bridged_seconds);
    const std::int64_t wanted =
        std::min(std::max(fair / first_divisor, bridging), fair);
    std::int64_t grant = 0;
    if (static_cast<double>(demand.free) <
        low_mark * static_cast<double>(wanted))
    {
        grant = wanted - demand.free;
    }
    grant = std::max(grant, demand.lacking);
    return std::min(grant, rest);
}

} // namespace turmeric::domain
