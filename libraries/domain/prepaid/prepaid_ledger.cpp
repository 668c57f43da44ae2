#include "libraries/domain/prepaid/prepaid_ledger.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::domain
{

void prepaid_ledger::set_granted(const std::string& account,
                                 std::int64_t granted)
{
    m_balances[account].granted = granted;
}

void prepaid_ledger::set_spending_limit(const std::string& account,
                                        std::int64_t limit)
{
    m_balances[account].spending_limit = limit;
}

bool prepaid_ledger::hold(const std::string& account, std::int64_t tokens)
{
    assert(tokens >= 0);
    prepaid_balance& balance = m_balances[account];
    if (balance.spendable() < tokens)
    {
        return false;
    }
    balance.held += tokens;
    constexpr std::int64_t smoothing_divisor = 8;
    balance.typical_hold += (tokens - balance.typical_hold) / smoothing_divisor;
    return true;
}

void prepaid_ledger::settle(const std::string& account, std::int64_t held,
                            std::int64_t used)
{
    assert(used >= 0 && used <= held);
    prepaid_balance& balance = m_balances[account];
    assert(balance.held >= held);
    balance.held -= held;
    balance.used += used;
}

std::int64_t prepaid_ledger::lend(const std::string& account,
                                  std::int64_t requested)
{
    assert(requested >= 0);
    prepaid_balance& balance = m_balances[account];
    const std::int64_t lent =
        std::min(requested, std::max<std::int64_t>(0, balance.spendable()));
    balance.lent += lent;
    return lent;
}

std::int64_t prepaid_ledger::pass_on(const std::string& account,
                                     std::int64_t requested)
{
    assert(requested >= 0);
    prepaid_balance& balance = m_balances[account];
    const std::int64_t passed =
        std::min(requested, std::max<std::int64_t>(0, balance.spendable()));
    balance.granted -= passed;
    balance.passed_on += passed;
    return passed;
}

prepaid_balance prepaid_ledger::balance(const std::string& account) const
{
    const auto found = m_balances.find(account);
    return found == m_balances.end() ? prepaid_balance{} : found->second;
}

const std::map<std::string, prepaid_balance>& prepaid_ledger::balances() const
{
    return m_balances;
}

} // namespace turmeric::domain
