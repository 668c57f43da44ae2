#pragma once

#include "libraries/drivers/budget/budget_service.hpp"
#include "libraries/drivers/requests/request_ledger.hpp"

#include <chrono>
#include <mutex>
#include <unordered_map>

namespace turmeric::router
{

/// How long a request waits for its budget.
struct ledger_waits
{
    std::chrono::milliseconds hold{2'000};
    std::chrono::milliseconds bill{10'000};
};

/// Gives runs the holds and bills of a budget service. Thread safe.
class budget_ledger final : public drivers::request_ledger
{
public:
    /// Precondition: both references outlive this.
    budget_ledger(drivers::budget_service& budgets, const ports::clock& clock,
                  ledger_waits waits);

    /// See `drivers::request_ledger`. Thread safe; blocks.
    result<drivers::ledger_hold_id>
    acquire(const drivers::request_context& request) override;

    /// See `drivers::request_ledger`. Thread safe; blocks.
    result<domain::tokens> settle(drivers::ledger_hold_id hold,
                                  domain::tokens used) override;

    /// See `drivers::request_ledger`. Thread safe.
    void release(drivers::ledger_hold_id hold) override;

    /// See `drivers::request_ledger`. Thread safe; blocks.
    status claim(const drivers::request_context& request) override;

private:
    drivers::hold take(drivers::ledger_hold_id hold);

    drivers::budget_service& m_budgets;
    const ports::clock& m_clock;
    const ledger_waits m_waits;
    std::mutex m_mutex;
    std::unordered_map<drivers::ledger_hold_id, drivers::hold> m_holds;
};

} // namespace turmeric::router
