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

/// Spreads the tokens that a router has of each account over the planned
/// duration of a store outage. A long outage then refuses some of the requests
/// throughout instead of all of them at its end. It is meant for outages in
/// which all routers are cut off for longer than their tokens last. Not thread
/// safe.
class outage_pacer
{
public:
    /// Starts pacing the tokens that the router has now; does nothing if pacing
    /// has started. Precondition: `outage_start` is not after `now`.
    void start(const std::map<std::string, prepaid_balance>& balances,
               ports::steady_time outage_start, ports::steady_time now);

    /// Stops pacing, because the store responds again.
    void stop();

    /// Returns whether one more request may draw on an account. A request may
    /// draw more than is permitted so far, so that large requests are not
    /// refused more often than small ones; later requests are then refused
    /// until the excess is made up for.
    [[nodiscard]] bool allows(const std::string& account,
                              const prepaid_balance& balance,
                              ports::steady_time now) const;

private:
    std::optional<ports::steady_time> m_started_at;
    ports::steady_time m_ends_at;
    std::map<std::string, std::int64_t> m_spent_at_start;
};

} // namespace turmeric::domain
