#include "services/router/budget_ledger.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::router
{

budget_ledger::budget_ledger(drivers::budget_service& budgets,
                             const ports::clock& clock, ledger_waits waits)
    : m_budgets(budgets)
    , m_clock(clock)
    , m_waits(waits)
{
}

result<drivers::ledger_hold_id>
budget_ledger::acquire(const drivers::request_context& request)
{
    domain::hold_request wanted;
    wanted.account = request.account.name;
    wanted.budget = request.budget;
    wanted.request_id = request.request_id;
    wanted.body_digest = static_cast<std::uint32_t>(request.body_digest);
    wanted.upper_bound = request.upper_bound;
    ports::steady_time until = m_clock.steady_now() + m_waits.hold;
    if (request.deadline)
    {
        until = std::min(until, *request.deadline);
    }
    result<drivers::hold> held = m_budgets.acquire(wanted, until);
    if (!held)
    {
        return held.failure();
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_holds.emplace(held.value().id, held.value());
    return held.value().id;
}

result<domain::tokens> budget_ledger::settle(drivers::ledger_hold_id hold,
                                             domain::tokens used)
{
    result<domain::bill_receipt> receipt =
        m_budgets.settle(take(hold), used, m_clock.steady_now() + m_waits.bill);
    if (!receipt)
    {
        return receipt.failure();
    }
    return receipt.value().billed;
}

void budget_ledger::release(drivers::ledger_hold_id hold)
{
    m_budgets.release(take(hold));
}

status budget_ledger::claim(const drivers::request_context& request)
{
    return m_budgets.claim(request.account.name, request.request_id,
                           m_clock.steady_now() + m_waits.hold);
}

drivers::hold budget_ledger::take(drivers::ledger_hold_id hold)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_holds.find(hold);
    assert(found != m_holds.end());
    drivers::hold taken = found->second;
    m_holds.erase(found);
    return taken;
}

} // namespace turmeric::router
