#include "libraries/domain/budget/shard_changes.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

/// Limit of an amount and of a budget, far below the range of the type, so that
/// sums cannot overflow.
constexpr tokens max_budget_tokens = 1'000'000'000'000'000;

std::size_t count_top_ups(const budget_shard& shard)
{
    std::size_t count = 0;
    for (const auto& [key, account] : shard.budgets)
    {
        count += account.top_ups.size();
    }
    return count;
}

result<change> result_of_repeat(const top_up_record& recorded,
                                const top_up& added)
{
    if (recorded.amount == added.amount)
    {
        return change::none;
    }
    return error{result_code::top_up_reused, "id",
                 "the top-up id was already used with another amount"};
}

} // namespace

result<change> apply_top_up(budget_shard& shard, const top_up& added,
                            sys_seconds now, const shard_limits& limits)
{
    if (added.amount <= 0 || added.amount > max_budget_tokens)
    {
        return error{result_code::amount_overflow, "amount",
                     "the amount is not positive, or it is too large"};
    }
    trim(shard, now, limits);
    const std::string key = budget_key(added.account, added.budget);
    auto found = shard.budgets.find(key);
    if (found == shard.budgets.end())
    {
        if (shard.budgets.size() >= limits.budgets)
        {
            return error{result_code::ledger_full, "budget",
                         "the shard has reached its limit on budgets"};
        }
        found = shard.budgets.emplace(key, budget_account{}).first;
    }
    budget_account& account = found->second;
    auto recorded = std::find_if(account.top_ups.begin(), account.top_ups.end(),
                                 [&added](const top_up_record& candidate)
                                 { return candidate.id == added.id; });
    if (recorded != account.top_ups.end())
    {
        return result_of_repeat(*recorded, added);
    }
    if (account.top_ups.size() >= limits.top_ups_per_budget ||
        count_top_ups(shard) >= limits.top_ups)
    {
        return error{result_code::ledger_full, "id",
                     "the limit on recorded top-ups is reached"};
    }
    if (total_top_ups_of(account) > max_budget_tokens - added.amount)
    {
        return error{result_code::amount_overflow, "amount",
                     "the top-up would exceed the limit on a budget's tokens"};
    }
    account.top_ups.push_back({added.id, added.amount, now});
    return change::made;
}

} // namespace turmeric::domain
