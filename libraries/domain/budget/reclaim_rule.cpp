#include "libraries/domain/budget/reclaim_rule.hpp"

namespace turmeric::domain
{

reclaim_step next_reclaim_step(const incarnation_record& record,
                               const incarnation_evidence& evidence,
                               sys_seconds now,
                               const reclaim_settings& settings)
{
    if (record.state == grant_state::frozen)
    {
        return now >= record.frozen_at + settings.freeze_time
                   ? reclaim_step::close
                   : reclaim_step::keep;
    }
    const bool has_ended =
        !evidence.has_lease && (evidence.has_vm_left || evidence.has_successor);
    const bool is_term_over = now > record.term_end + settings.clock_skew;
    return has_ended || is_term_over ? reclaim_step::freeze
                                     : reclaim_step::keep;
}

} // namespace turmeric::domain
