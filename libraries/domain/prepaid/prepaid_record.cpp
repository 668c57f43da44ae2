#include "libraries/domain/prepaid/prepaid_record.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace turmeric::domain
{

namespace
{

/// Duration of a store outage for which a router's tokens should last.
constexpr double outage_seconds = 10.0;
/// The same for a router that is stopping.
constexpr double outage_seconds_leaving = 3.0;
/// A router that does not hold the account keeps tokens for this duration or
/// this number of requests.
constexpr double borrower_seconds = 1.0;
constexpr std::int64_t borrower_holds = 4;
/// Number of standard deviations above the mean consumption that are covered.
constexpr double covered_deviations = 1.0;
/// A router that is not stopping gets at least its even share divided by this,
/// whatever its rate.
constexpr std::int64_t min_grant_divisor = 16;
/// The largest fraction of the unconsumed tokens that all routers together
/// hold.
constexpr double max_held_fraction = 0.3;
/// If less than this fraction of the prepaid total is left, routers hold a
/// smaller fraction of it. Tokens that are lost with a killed router matter
/// sooner then: the account cannot be used up, and all later requests are
/// refused although the account would cover them.
constexpr double ample_fraction = 0.5;
/// A router that has less than this multiple of the target asks for more.
constexpr double low_watermark = 0.9;
/// A router that has more than this multiple of the target returns the surplus.
constexpr double high_watermark = 1.2;
/// The inverse of the part by which a record's rate falls with one change.
constexpr std::int64_t rate_decay_divisor = 8;
/// The number of entries that a record keeps of incarnations that are not
/// registered.
constexpr std::size_t max_unregistered_entries = 16;
/// The number of earlier eras that a record keeps.
constexpr std::size_t max_earlier_eras = 8;

/// Returns the largest fraction of `pool` that all routers together hold.
double max_held_fraction_of(std::int64_t pool, std::int64_t total)
{
    const double ample = ample_fraction * static_cast<double>(total);
    if (ample <= 0 || static_cast<double>(pool) >= ample)
    {
        return max_held_fraction;
    }
    const double fill = static_cast<double>(pool) / ample;
    return max_held_fraction * fill * fill;
}

/// Returns what the router consumes in `seconds`, with the covered deviation.
std::int64_t consumption_in(const grant_demand& demand, double seconds)
{
    const double mean = demand.tokens_per_second * seconds;
    // The standard deviation of what the requests consume grows with the
    // square root of their number.
    const double deviation =
        covered_deviations *
        std::sqrt(mean * static_cast<double>(demand.typical_hold));
    return static_cast<std::int64_t>(mean + deviation);
}

/// Returns the change for a router that does not hold the account: it asks the
/// store only for what it cannot borrow, and returns what it had as a holder.
std::int64_t compute_borrower_change(const grant_demand& demand,
                                     std::int64_t ungranted, std::int64_t free)
{
    if (demand.lacking > 0)
    {
        return demand.can_borrow ? 0 : std::min(ungranted, demand.lacking);
    }
    const std::int64_t kept = std::max(consumption_in(demand, borrower_seconds),
                                       borrower_holds * demand.typical_hold);
    return std::min<std::int64_t>(0, kept - free);
}

/// Drops the smallest entries of incarnations that are not in `members` if they
/// are too many.
void drop_unregistered(std::map<std::string, std::int64_t>& granted_to,
                       const std::set<std::string>& members)
{
    std::vector<std::pair<std::int64_t, std::string>> unregistered;
    for (const auto& [incarnation, granted] : granted_to)
    {
        if (members.count(incarnation) == 0)
        {
            unregistered.emplace_back(granted, incarnation);
        }
    }
    std::sort(unregistered.begin(), unregistered.end(), std::greater<>());
    for (std::size_t index = max_unregistered_entries;
         index < unregistered.size(); ++index)
    {
        granted_to.erase(unregistered[index].second);
    }
}

} // namespace

std::int64_t add_reserve(prepaid_record& record, std::int64_t prepaid_tokens)
{
    const std::int64_t granted = granted_at_most_since(
        record.ceiling, record.granted_in_all, prepaid_tokens);
    return granted - std::exchange(record.granted_in_all, granted);
}

std::int64_t update_fleet_rate(std::int64_t previous, double tokens_per_second)
{
    const std::int64_t decayed = previous - previous / rate_decay_divisor;
    return std::max(decayed, static_cast<std::int64_t>(tokens_per_second));
}

granted_total total_of(std::int64_t era, const prepaid_record& record)
{
    return {{era, record.version},
            record.granted_in_all,
            record.restored_from,
            record.ceiling};
}

prepaid_record begin_era_record(const granted_total& total)
{
    prepaid_record record;
    record.granted_in_all = total.tokens;
    record.version = total.at.version;
    record.restored_from = total.earlier_eras;
    record.ceiling = total.ceiling;
    record.restored_from[total.at.era] = total.at.version;
    while (record.restored_from.size() > max_earlier_eras)
    {
        record.restored_from.erase(record.restored_from.begin());
    }
    return record;
}

prepaid_record apply_grant_change(prepaid_record record,
                                  const std::string& incarnation,
                                  std::int64_t own_granted, std::int64_t tokens,
                                  const std::set<std::string>& members)
{
    ++record.version;
    record.granted_in_all += tokens;
    drop_unregistered(record.granted_to, members);
    record.granted_to[incarnation] = own_granted + tokens;
    return record;
}

std::int64_t close_grant(prepaid_record& record, const std::string& incarnation,
                         std::int64_t max_spent_tokens)
{
    const auto entry = record.granted_to.find(incarnation);
    if (entry == record.granted_to.end())
    {
        return 0;
    }
    const std::int64_t freed =
        std::max<std::int64_t>(0, entry->second - max_spent_tokens);
    record.granted_in_all -= freed;
    record.granted_to.erase(entry);
    return freed;
}

std::int64_t compute_grant_change(const grant_demand& demand)
{
    const std::int64_t ungranted = std::max<std::int64_t>(
        0, demand.prepaid_tokens - demand.granted_in_all);
    const std::int64_t free = std::max<std::int64_t>(0, demand.free);
    if (!demand.is_holder)
    {
        return compute_borrower_change(demand, ungranted, free);
    }
    const std::int64_t holders = std::max<std::int64_t>(1, demand.holders);
    const std::int64_t pool = ungranted + demand.peers_free + free;
    const std::int64_t even_share = pool / holders;
    const double all_rates =
        demand.tokens_per_second + demand.peers_tokens_per_second;
    const double rate_share = all_rates < 1.0
                                  ? 1.0 / static_cast<double>(holders)
                                  : demand.tokens_per_second / all_rates;
    const std::int64_t max_grant = static_cast<std::int64_t>(
        max_held_fraction_of(pool, demand.prepaid_tokens) * rate_share *
        static_cast<double>(pool));
    const double seconds =
        demand.is_leaving ? outage_seconds_leaving : outage_seconds;
    const std::int64_t outage_need = consumption_in(demand, seconds);
    const std::int64_t min_grant =
        demand.is_leaving ? 0 : even_share / min_grant_divisor;
    const std::int64_t target =
        std::max(min_grant, std::min(outage_need, max_grant));
    if (demand.lacking > 0)
    {
        return std::min(ungranted, std::max(demand.lacking, target - free));
    }
    const double available = static_cast<double>(free);
    if (available < low_watermark * static_cast<double>(target))
    {
        return std::min(ungranted, target - free);
    }
    if (available > high_watermark * static_cast<double>(target))
    {
        return target - free;
    }
    return 0;
}

} // namespace turmeric::domain
