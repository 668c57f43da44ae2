#pragma once

#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmeric::domain
{

/// Spreads what a router holds of each account over the time for which the
/// store may stay silent, so that a long silence refuses a part of the
/// requests all the while and not all of them at its end. Load pattern: all
/// routers are cut off for longer than their tokens last. Not thread safe.
class outage_pacer
{
public:
    /// Starts with what the router holds now; does nothing if it has started.
    /// Precondition: `silent_since` is not after `now`.
    void start(const std::map<std::string, prepaid_balance>& balances,
               ports::steady_time silent_since, ports::steady_time now);

    /// Ends the pacing: the store answers.
    void stop();

    /// Tells whether one more request may draw on an account. A request may
    /// draw more than is due, which those after it make up for, so that large
    /// ones are not refused more often than small ones.
    [[nodiscard]] bool allows(const std::string& account,
                              const prepaid_balance& balance,
                              ports::steady_time now) const;

private:
    std::optional<ports::steady_time> m_started_at;
    ports::steady_time m_ends_at;
    std::map<std::string, std::int64_t> m_spent_at_start;
};

} // namespace turmeric::domain
