#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace turmeric::domain
{

/// What the store keeps of one account: all that was ever granted counts as
/// spent, so the sum stays within the prepaid total whatever becomes of the
/// routers.
struct prepaid_record
{
    /// Tokens granted to all routers in all, less those given back.
    std::int64_t granted_in_all = 0;
    /// What each router incarnation has of it, so that one whose reply was
    /// lost can tell whether its change was made.
    std::map<std::string, std::int64_t> granted_to;
};

/// Returns the record with `tokens` more for `incarnation`, or fewer when
/// negative. `own_granted` is what the incarnation knows that it has.
/// Entries of incarnations that are not in `members` are dropped; what they
/// had stays in the sum. Thread safe.
[[nodiscard]] prepaid_record
apply_grant_change(prepaid_record record, const std::string& incarnation,
                   std::int64_t own_granted, std::int64_t tokens,
                   const std::set<std::string>& members);

/// What decides how much a router asks for.
struct grant_demand
{
    std::int64_t prepaid_tokens = 0;
    std::int64_t granted_in_all = 0;
    /// Routers that draw on the account.
    std::int64_t routers = 1;
    /// What this router can hold now.
    std::int64_t free = 0;
    /// What the other routers can hold.
    std::int64_t peers_free = 0;
    /// Tokens a second that this router consumes of late.
    double tokens_per_second = 0;
    /// The same of all other routers together.
    double peers_tokens_per_second = 0;
    /// What one request holds, about.
    std::int64_t typical_hold = 0;
    /// What waiting requests lack beyond `free`.
    std::int64_t lacking = 0;
    /// A router that stops needs little more.
    bool is_leaving = false;
};

/// Returns the tokens to ask for, or, below zero, those to give back: enough
/// to bridge an outage of the store at the present rate, but no more than a
/// part of what nobody has consumed, shared by the routers' rates, so that
/// the loss of routers with all that they hold leaves the account something.
/// 0 when nothing is to be changed. Thread safe.
[[nodiscard]] std::int64_t compute_grant_change(const grant_demand& demand);

} // namespace turmeric::domain
