#include "libraries/domain/budget/budget_shard.hpp"

#include "libraries/domain/digest.hpp"

#include <algorithm>

namespace turmeric::domain
{

std::int32_t shard_of(std::string_view account, std::int32_t shard_count)
{
    const std::uint64_t count = static_cast<std::uint64_t>(shard_count);
    return static_cast<std::int32_t>(digest_of(account) % count);
}

std::string budget_key(std::string_view account, std::string_view budget)
{
    std::string key(account);
    key += '/';
    key += budget;
    return key;
}

std::uint64_t bill_key(std::string_view account, std::string_view request_id)
{
    return digest_of(request_id, digest_of(account));
}

tokens total_top_ups_of(const budget_account& account)
{
    tokens sum = account.older_top_ups;
    for (const top_up_record& top_up : account.top_ups)
    {
        sum += top_up.amount;
    }
    return sum;
}

tokens settled_of(const budget_account& account)
{
    tokens sum = account.settled_by_removed_grants;
    for (const grant_record& grant : account.grants)
    {
        sum += grant.settled;
    }
    return sum;
}

tokens outstanding_of(const budget_account& account)
{
    tokens sum = 0;
    for (const grant_record& grant : account.grants)
    {
        sum += grant.granted - grant.settled;
    }
    return sum;
}

tokens pool_of(const budget_account& account)
{
    return total_top_ups_of(account) - settled_of(account) -
           outstanding_of(account);
}

bool is_consistent(const budget_shard& shard)
{
    for (const auto& [name, account] : shard.budgets)
    {
        for (const grant_record& grant : account.grants)
        {
            if (grant.settled < 0 || grant.granted < grant.settled)
            {
                return false;
            }
        }
        if (pool_of(account) < 0)
        {
            return false;
        }
    }
    return true;
}

incarnation_record* find_incarnation(budget_shard& shard, std::string_view name)
{
    auto found =
        std::find_if(shard.incarnations.begin(), shard.incarnations.end(),
                     [name](const incarnation_record& candidate)
                     { return candidate.name == name; });
    return found == shard.incarnations.end() ? nullptr : &*found;
}

grant_record* find_grant(budget_account& account, std::int32_t slot)
{
    auto found = std::find_if(account.grants.begin(), account.grants.end(),
                              [slot](const grant_record& candidate)
                              { return candidate.slot == slot; });
    return found == account.grants.end() ? nullptr : &*found;
}

} // namespace turmeric::domain
