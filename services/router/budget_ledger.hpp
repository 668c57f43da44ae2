#pragma once

#include "libraries/drivers/budget/budget_service.hpp"
#include "libraries/drivers/requests/request_ledger.hpp"

#include <chrono>
#include <mutex>
#include <unordered_map>

namespace turmeric::router
{

/// How long a request waits for the budget service: for a hold, and for its
/// bill to become durable.
struct ledger_timeouts
{
    std::chrono::milliseconds hold{2'000};
    std::chrono::milliseconds bill{10'000};
};

/// Implements the request ledger with the budget service: keeps the hold of
/// each request until it is settled or released. Thread safe.
class budget_ledger final : public drivers::request_ledger
{
public:
    /// Precondition: both references outlive this object.
    budget_ledger(drivers::budget_service& budgets, const ports::clock& clock,
                  ledger_timeouts timeouts);

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
    /// Precondition: `hold` was acquired and is neither settled nor released.
    drivers::hold remove_hold(drivers::ledger_hold_id hold);

    drivers::budget_service& m_budgets;
    const ports::clock& m_clock;
    const ledger_timeouts m_timeouts;
    std::mutex m_mutex;
    std::unordered_map<drivers::ledger_hold_id, drivers::hold> m_holds;
};

} // namespace turmeric::router
