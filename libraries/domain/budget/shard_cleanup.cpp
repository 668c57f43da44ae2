#include "libraries/domain/budget/shard_cleanup.hpp"

#include "libraries/domain/budget/shard_changes.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

template <class Predicate>
void remove_grants_if(budget_account& account, Predicate is_removable)
{
    for (const grant_record& grant : account.grants)
    {
        if (is_removable(grant))
        {
            account.settled_by_removed_grants += grant.settled;
        }
    }
    std::erase_if(account.grants, is_removable);
}

void remove_old_top_ups(budget_account& account, sys_seconds oldest)
{
    auto is_old = [oldest](const top_up_record& top_up)
    { return top_up.applied_at < oldest; };
    for (const top_up_record& top_up : account.top_ups)
    {
        if (is_old(top_up))
        {
            account.older_top_ups += top_up.amount;
        }
    }
    std::erase_if(account.top_ups, is_old);
}

void trim_bills(budget_shard& shard, sys_seconds now,
                const shard_limits& limits)
{
    std::size_t count = count_bills(shard);
    auto page = shard.bill_pages.begin();
    while (page != shard.bill_pages.end())
    {
        const bool is_past_max_window =
            page->durable_at < now - limits.max_retry_window;
        const bool is_over_threshold =
            page->durable_at < now - limits.retry_window &&
            count > limits.bill_trim_threshold;
        if (!is_past_max_window && !is_over_threshold)
        {
            break;
        }
        count -= page->bills.size();
        ++page;
    }
    shard.bill_pages.erase(shard.bill_pages.begin(), page);
}

} // namespace

std::size_t count_bills(const budget_shard& shard)
{
    std::size_t count = 0;
    for (const bill_page& page : shard.bill_pages)
    {
        count += page.bills.size();
    }
    return count;
}

void remove_idle_grants(budget_account& account)
{
    remove_grants_if(
        account, [](const grant_record& grant)
        { return grant.granted == grant.settled && grant.rate == 0; });
}

void remove_incarnation(budget_shard& shard, std::int32_t slot)
{
    for (auto& [key, account] : shard.budgets)
    {
        remove_grants_if(account, [slot](const grant_record& grant)
                         { return grant.slot == slot; });
    }
    std::erase_if(shard.incarnations, [slot](const incarnation_record& record)
                  { return record.slot == slot; });
}

void trim(budget_shard& shard, sys_seconds now, const shard_limits& limits)
{
    trim_bills(shard, now, limits);
    for (auto& [key, account] : shard.budgets)
    {
        remove_old_top_ups(account, now - limits.top_up_window);
    }
}

} // namespace turmeric::domain
