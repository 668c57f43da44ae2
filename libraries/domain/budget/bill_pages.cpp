#include "libraries/domain/budget/bill_pages.hpp"

#include <algorithm>

namespace turmeric::domain
{

const bill_record* find_bill(const budget_shard& shard, std::uint64_t key)
{
    for (const bill_page& page : shard.bill_pages)
    {
        const auto found = std::find_if(page.bills.begin(), page.bills.end(),
                                        [key](const bill_record& candidate)
                                        { return candidate.key == key; });
        if (found != page.bills.end())
        {
            return &*found;
        }
    }
    return nullptr;
}

std::vector<bill_record>& bills_of_current_page(budget_shard& shard,
                                                sys_seconds now)
{
    // Writers' clocks differ. If `now` is older than the newest page, the bill
    // goes to the newest page, so that the pages stay in order of time.
    if (shard.bill_pages.empty() || shard.bill_pages.back().durable_at < now)
    {
        shard.bill_pages.push_back({now, {}});
    }
    return shard.bill_pages.back().bills;
}

} // namespace turmeric::domain
