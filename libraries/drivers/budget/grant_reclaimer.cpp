#include "libraries/drivers/budget/grant_reclaimer.hpp"

#include <vector>

namespace turmeric::drivers
{

using domain::budget_shard;
using domain::change;
using domain::incarnation_record;
using domain::reclaim_step;

grant_reclaimer::grant_reclaimer(shard_editor& editor,
                                 const ports::clock& clock, logger& log,
                                 const domain::reclaim_settings& settings)
    : m_editor(editor)
    , m_clock(clock)
    , m_log(log)
    , m_settings(settings)
{
}

result<reclaim_counts> grant_reclaimer::run(std::int32_t shard,
                                            const evidence_of& evidence,
                                            ports::steady_time deadline)
{
    reclaim_counts counts;
    const shard_edit edit = [&](budget_shard& value) -> result<change>
    {
        counts = reclaim(value, evidence);
        const bool is_changed = counts.frozen + counts.closed > 0;
        return is_changed ? change::made : change::none;
    };
    result<change> applied = m_editor.apply(shard, edit, deadline);
    if (!applied)
    {
        return applied.failure();
    }
    if (counts.frozen + counts.closed > 0)
    {
        m_log.write(log_level::info, log_event::grant_closed,
                    {{"shard", static_cast<std::int64_t>(shard)},
                     {"frozen", static_cast<std::int64_t>(counts.frozen)},
                     {"closed", static_cast<std::int64_t>(counts.closed)}});
    }
    return counts;
}

reclaim_counts grant_reclaimer::reclaim(budget_shard& shard,
                                        const evidence_of& evidence) const
{
    const domain::sys_seconds now =
        std::chrono::time_point_cast<std::chrono::seconds>(
            m_clock.system_now());
    reclaim_counts counts;
    const std::vector<incarnation_record> records = shard.incarnations;
    for (const incarnation_record& record : records)
    {
        const reclaim_step step = domain::next_reclaim_step(
            record, evidence(record.name), now, m_settings);
        if (step == reclaim_step::freeze &&
            freeze_incarnation(shard, record.name, now) == change::made)
        {
            ++counts.frozen;
        }
        if (step == reclaim_step::close &&
            close_incarnation(shard, record.name, now,
                              m_settings.freeze_time) == change::made)
        {
            ++counts.closed;
        }
    }
    return counts;
}

} // namespace turmeric::drivers
