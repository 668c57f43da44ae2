#include "libraries/domain/budget/fold_grants.hpp"

#include "libraries/domain/budget/shard_changes.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

template <class Predicate>
void fold_if(budget_account& account, Predicate is_done)
{
    for (const grant_record& grant : account.grants)
    {
        if (is_done(grant))
        {
            account.closed_settled += grant.settled;
        }
    }
    std::erase_if(account.grants, is_done);
}

void fold_old_top_ups(budget_account& account, sys_seconds oldest)
{
    auto is_old = [oldest](const top_up_record& top_up)
    { return top_up.applied_at < oldest; };
    for (const top_up_record& top_up : account.top_ups)
    {
        if (is_old(top_up))
        {
            account.folded_top_ups += top_up.amount;
        }
    }
    std::erase_if(account.top_ups, is_old);
}

} // namespace

void fold_idle_grants(budget_account& account)
{
    fold_if(account, [](const grant_record& grant)
            { return grant.granted == grant.settled && grant.rate == 0; });
}

void end_incarnation(budget_shard& shard, std::int32_t slot)
{
    for (auto& [key, account] : shard.budgets)
    {
        fold_if(account, [slot](const grant_record& grant)
                { return grant.slot == slot; });
    }
    std::erase_if(shard.incarnations, [slot](const incarnation_record& record)
                  { return record.slot == slot; });
}

void trim(budget_shard& shard, sys_seconds now, const shard_limits& limits)
{
    const sys_seconds oldest_bill = now - limits.retry_window;
    std::erase_if(shard.bill_pages, [oldest_bill](const bill_page& page)
                  { return page.when < oldest_bill; });
    for (auto& [key, account] : shard.budgets)
    {
        fold_old_top_ups(account, now - limits.top_up_window);
    }
}

} // namespace turmeric::domain
