#include "libraries/drivers/budget/bill_copy_settler.hpp"

#include "libraries/domain/budget/settle_bill_copies.hpp"

#include <map>
#include <utility>

namespace turmeric::drivers
{

bill_copy_settler::bill_copy_settler(bill_copy_store& copies,
                                     shard_editor& editor,
                                     const ports::clock& clock, logger& log)
    : m_copies(copies)
    , m_editor(editor)
    , m_clock(clock)
    , m_log(log)
{
}

void bill_copy_settler::run(const liveness_check& is_alive,
                            ports::steady_time deadline)
{
    using incarnation_shard = std::pair<std::string, std::int32_t>;
    std::map<incarnation_shard, std::vector<domain::pending_bill>> copied_bills;
    for (const bill_copy& copy : m_copies.copies())
    {
        if (!is_alive(copy.incarnation))
        {
            copied_bills[{copy.incarnation, copy.shard}].push_back(copy.bill);
        }
    }
    for (const auto& entry : copied_bills)
    {
        const std::string& incarnation = entry.first.first;
        const std::int32_t shard_index = entry.first.second;
        const std::vector<domain::pending_bill>& bills = entry.second;
        shard_edit edit =
            [&](domain::budget_shard& shard) -> result<domain::change>
        {
            return domain::settle_bill_copies(
                shard, incarnation, bills,
                std::chrono::time_point_cast<std::chrono::seconds>(
                    m_clock.system_now()));
        };
        result<domain::change> applied =
            m_editor.apply(shard_index, edit, deadline);
        if (!applied)
        {
            // The platform is probably still unavailable: keep the copies for
            // the next run.
            return;
        }
        m_copies.erase(incarnation, shard_index);
        m_log.write(log_level::info, log_event::bill_committed,
                    {{"incarnation", incarnation},
                     {"copies", static_cast<std::int64_t>(bills.size())}});
    }
}

} // namespace turmeric::drivers
