#pragma once

#include "libraries/domain/prepaid/grant_ceiling.hpp"
#include "libraries/domain/prepaid/granted_totals.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace turmeric::domain
{

/// The record of one account in one era of the store. Granted tokens count as
/// spent, so that the routers never consume more than the prepaid total, even
/// if routers are killed or cut off.
struct prepaid_record
{
    /// Total of the tokens granted to all routers, less those returned.
    std::int64_t granted_in_all = 0;
    /// The part of that total that each router incarnation has. A router whose
    /// write got no reply sees here whether the write took effect.
    /// A router that has not changed its grant in this era has no entry.
    std::map<std::string, std::int64_t> granted_to;
    /// The number of changes, counted on from the era before.
    std::int64_t version = 0;
    /// What the total counts of the eras before.
    counted_versions restored_from;
    /// What all routers together consumed around the last change.
    std::int64_t tokens_per_second = 0;
    /// Bounds what is granted after a copy of the record.
    grant_ceiling ceiling = {};
};

/// Counts as granted what can have been granted at most since the store was
/// copied, for a record that is begun without knowing it. Returns by how much
/// the total rises. Thread safe.
std::int64_t add_reserve(prepaid_record& record, std::int64_t prepaid_tokens);

/// Returns the fleet's rate of consumption for a record whose rate was
/// `previous`, by a router that sees `tokens_per_second`. It falls slowly,
/// because the router may lack reports of its peers. Thread safe.
[[nodiscard]] std::int64_t update_fleet_rate(std::int64_t previous,
                                             double tokens_per_second);

/// Returns what a record of the era `era` counts. Thread safe.
[[nodiscard]] granted_total total_of(std::int64_t era,
                                     const prepaid_record& record);

/// Returns the record with which an account goes on in a new era: it counts
/// all of `total`, whoever was granted it, so that nothing is granted twice
/// whatever the store has lost. Thread safe.
[[nodiscard]] prepaid_record begin_era_record(const granted_total& total);

/// Returns the record with `tokens` more for `incarnation`, or fewer when
/// negative, and one more change. `own_granted` is the total that the
/// incarnation has before the change. Of the entries of incarnations that are
/// not in `members` a bounded number is kept, for successors on their VMs to
/// close; the tokens of the others stay in `granted_in_all`. Thread safe.
[[nodiscard]] prepaid_record
apply_grant_change(prepaid_record record, const std::string& incarnation,
                   std::int64_t own_granted, std::int64_t tokens,
                   const std::set<std::string>& members);

/// Removes the entry of an incarnation that has ended, and frees what it has
/// not spent. Returns the number of tokens freed. Precondition: it spends
/// nothing any more, and has not spent more of its grants than
/// `max_spent_tokens`. Thread safe.
std::int64_t close_grant(prepaid_record& record, const std::string& incarnation,
                         std::int64_t max_spent_tokens);

/// The state that determines how many tokens a router asks for.
struct grant_demand
{
    std::int64_t prepaid_tokens = 0;
    std::int64_t granted_in_all = 0;
    /// Routers that hold tokens of the account, including this one.
    std::int64_t holders = 1;
    /// Whether this router is one of them.
    bool is_holder = true;
    /// Whether a router that is not one of them can borrow what it lacks.
    bool can_borrow = false;
    /// Tokens that this router can hold now.
    std::int64_t free = 0;
    /// Tokens that the other routers can hold.
    std::int64_t peers_free = 0;
    /// Recent consumption of this router, in tokens per second.
    double tokens_per_second = 0;
    /// Recent consumption of all other routers together.
    double peers_tokens_per_second = 0;
    /// Mean of the tokens held for one request.
    std::int64_t typical_hold = 0;
    /// Tokens that waiting requests need in addition to `free`.
    std::int64_t lacking = 0;
    /// Whether this router is stopping, so that it needs few further tokens.
    bool is_leaving = false;
};

/// Returns the number of tokens to ask the store for, or, if negative, to
/// return to it; 0 if the grant is to stay as it is. The router's grant then
/// lasts for an outage of the store at the present rate, but all routers
/// together get at most a fraction of the tokens that are not consumed, split
/// in proportion to their rates. The account thus keeps tokens even if routers
/// are lost with everything that they hold. Thread safe.
[[nodiscard]] std::int64_t compute_grant_change(const grant_demand& demand);

} // namespace turmeric::domain
