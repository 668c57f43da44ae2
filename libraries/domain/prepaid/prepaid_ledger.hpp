#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// What one router has of one account's prepaid tokens.
struct prepaid_balance
{
    /// Tokens that the store has granted to this router in all.
    std::int64_t granted = 0;
    /// Tokens that were consumed.
    std::int64_t used = 0;
    /// Tokens that requests in flight may still consume.
    std::int64_t held = 0;
    /// A running mean of what single requests held.
    std::int64_t typical_hold = 0;

    /// Returns what can be held. Thread safe.
    [[nodiscard]] std::int64_t free() const
    {
        return granted - used - held;
    }
};

/// Holds and settles requests against the grants of one router: what is used
/// and held never exceeds what was granted. Not thread safe.
class prepaid_ledger
{
public:
    /// Sets what the store has granted to this router in all. A smaller
    /// grant only stops new holds. No precondition.
    void set_granted(const std::string& account, std::int64_t granted);

    /// Holds the most that a request can consume; false if the grant does
    /// not cover it. Precondition: `tokens` is not negative.
    bool hold(const std::string& account, std::int64_t tokens);

    /// Ends a hold with what was consumed of it. Precondition: `held` was
    /// held; `used` is from 0 to `held`.
    void settle(const std::string& account, std::int64_t held,
                std::int64_t used);

    /// Returns an account's balance.
    [[nodiscard]] prepaid_balance balance(const std::string& account) const;

    /// Returns all balances by account.
    [[nodiscard]] const std::map<std::string, prepaid_balance>&
    balances() const;

private:
    std::map<std::string, prepaid_balance> m_balances;
};

} // namespace turmeric::domain
