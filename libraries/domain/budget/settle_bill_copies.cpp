#include "libraries/domain/budget/settle_bill_copies.hpp"

#include "libraries/domain/budget/bill_pages.hpp"

namespace turmeric::domain
{

namespace
{

change settle_copy(budget_shard& shard, std::int32_t slot,
                   const pending_bill& bill, sys_seconds now)
{
    if (find_bill(shard, bill.key) != nullptr)
    {
        return change::none;
    }
    auto account = shard.budgets.find(bill.budget);
    grant_record* grant = account == shard.budgets.end()
                              ? nullptr
                              : find_grant(account->second, slot);
    bool is_covered = grant != nullptr && bill.used >= 0 &&
                      bill.used <= grant->granted - grant->settled;
    if (!is_covered)
    {
        return change::none;
    }
    grant->settled += bill.used;
    bills_of_current_page(shard, now)
        .push_back({bill.key, bill.body_digest, bill.used, slot});
    return change::made;
}

} // namespace

change settle_bill_copies(budget_shard& shard, std::string_view incarnation,
                          const std::vector<pending_bill>& bills,
                          sys_seconds now)
{
    const incarnation_record* record = find_incarnation(shard, incarnation);
    if (record == nullptr)
    {
        return change::none;
    }
    change made = change::none;
    for (const pending_bill& bill : bills)
    {
        if (settle_copy(shard, record->slot, bill, now) == change::made)
        {
            made = change::made;
        }
    }
    return made;
}

} // namespace turmeric::domain
