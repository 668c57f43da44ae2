#include "services/router/budget_ledger.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::router
{

budget_ledger::budget_ledger(drivers::budget_service& budgets,
                             const ports::clock& clock,
                             ledger_timeouts timeouts)
    : m_budgets(budgets)
    , m_clock(clock)
    , m_timeouts(timeouts)
{
}

result<drivers::ledger_hold_id>
budget_ledger::acquire(const drivers::request_context& request)
{
    domain::hold_request requested;
    requested.account = request.account.name;
    requested.budget = request.budget;
    requested.request_id = request.request_id;
    requested.body_digest = static_cast<std::uint32_t>(request.body_digest);
    requested.upper_bound = request.upper_bound;
    ports::steady_time deadline = m_clock.steady_now() + m_timeouts.hold;
    if (request.deadline)
    {
        deadline = std::min(deadline, *request.deadline);
    }
    result<drivers::hold> held = m_budgets.acquire(requested, deadline);
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
    result<domain::bill_receipt> receipt = m_budgets.settle(
        remove_hold(hold), used, m_clock.steady_now() + m_timeouts.bill);
    if (!receipt)
    {
        return receipt.failure();
    }
    return receipt.value().billed;
}

void budget_ledger::release(drivers::ledger_hold_id hold)
{
    m_budgets.release(remove_hold(hold));
}

status budget_ledger::claim(const drivers::request_context& request)
{
    return m_budgets.claim(request.account.name, request.request_id,
                           m_clock.steady_now() + m_timeouts.hold);
}

drivers::hold budget_ledger::remove_hold(drivers::ledger_hold_id hold)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_holds.find(hold);
    assert(found != m_holds.end());
    drivers::hold removed = found->second;
    m_holds.erase(found);
    return removed;
}

} // namespace turmeric::router
