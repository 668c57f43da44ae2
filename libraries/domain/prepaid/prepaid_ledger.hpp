#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>

namespace turmeric::domain
{

/// One router's part of one account's prepaid tokens.
struct prepaid_balance
{
    /// Total of the tokens that the store has granted to this router.
    std::int64_t granted = 0;
    /// Tokens that were consumed.
    std::int64_t used = 0;
    /// Tokens that requests in flight may still consume.
    std::int64_t held = 0;
    /// Tokens that were lent to routers that hold none of the account.
    std::int64_t lent = 0;
    /// Tokens that were passed on to other holders. They no longer count as
    /// granted.
    std::int64_t passed_on = 0;
    /// The most that may be spent and passed on together.
    std::int64_t spending_limit = std::numeric_limits<std::int64_t>::max();
    /// Running mean of the tokens held for one request.
    std::int64_t typical_hold = 0;

    /// Returns the tokens that are granted and not spent. Thread safe.
    [[nodiscard]] std::int64_t free() const
    {
        return granted - spent();
    }

    /// Returns the tokens that new requests and loans can have. Thread safe.
    [[nodiscard]] std::int64_t spendable() const
    {
        return std::min(free(), spending_limit - spent() - passed_on);
    }

    /// Returns the tokens that are consumed, held or lent. Thread safe.
    [[nodiscard]] std::int64_t spent() const
    {
        return used + held + lent;
    }
};

/// Holds tokens for requests and settles the holds against the grants of one
/// router. No new hold or loan makes what is spent exceed the granted tokens or
/// the spending limit. Not thread safe.
class prepaid_ledger
{
public:
    /// Sets the total of the tokens that the store has granted to this router.
    /// A smaller total only prevents new holds. No precondition.
    void set_granted(const std::string& account, std::int64_t granted);

    /// Sets the spending limit. A smaller one only prevents new holds and
    /// loans. No precondition.
    void set_spending_limit(const std::string& account, std::int64_t limit);

    /// Holds the maximum number of tokens that a request can consume. Returns
    /// false if the grant or the spending limit does not cover them.
    /// Precondition: `tokens` is not negative.
    bool hold(const std::string& account, std::int64_t tokens);

    /// Ends a hold of `held` tokens of which `used` were consumed.
    /// Precondition: `held` tokens were held; `used` is from 0 to `held`.
    void settle(const std::string& account, std::int64_t held,
                std::int64_t used);

    /// Lends up to `requested` of the spendable tokens. Returns how many.
    /// Precondition: `requested` is not negative.
    std::int64_t lend(const std::string& account, std::int64_t requested);

    /// Passes up to `requested` of the spendable tokens on to another holder.
    /// Returns how many. Precondition: `requested` is not negative.
    std::int64_t pass_on(const std::string& account, std::int64_t requested);

    /// Returns an account's balance.
    [[nodiscard]] prepaid_balance balance(const std::string& account) const;

    /// Returns all balances by account.
    [[nodiscard]] const std::map<std::string, prepaid_balance>&
    balances() const;

private:
    std::map<std::string, prepaid_balance> m_balances;
};

} // namespace turmeric::domain
