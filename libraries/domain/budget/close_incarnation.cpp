#include "libraries/domain/budget/shard_changes.hpp"

#include "libraries/domain/budget/shard_cleanup.hpp"

#include <algorithm>

namespace turmeric::domain
{

change freeze_incarnation(budget_shard& shard, std::string_view name,
                          sys_seconds now)
{
    incarnation_record* record = find_incarnation(shard, name);
    if (record == nullptr || record->state == grant_state::frozen)
    {
        return change::none;
    }
    record->state = grant_state::frozen;
    record->frozen_at = now;
    return change::made;
}

change close_incarnation(budget_shard& shard, std::string_view name,
                         sys_seconds now, std::chrono::seconds freeze_time)
{
    const incarnation_record* record = find_incarnation(shard, name);
    if (record == nullptr || record->state != grant_state::frozen ||
        now < record->frozen_at + freeze_time)
    {
        return change::none;
    }
    remove_incarnation(shard, record->slot);
    return change::made;
}

} // namespace turmeric::domain
