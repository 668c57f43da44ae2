#include "libraries/drivers/fleet/token_control.hpp"

namespace turmeric::drivers
{

namespace
{

/// What may be spent beyond the present need before witnesses confirm more: the
/// consumption of this time, and this number of requests.
constexpr double announced_seconds = 0.3;
constexpr std::int64_t announced_holds = 1;

/// Returns what a router may spend of an account before witnesses confirm more.
std::int64_t spending_reserve(const account_token_demand& demand,
                              double tokens_per_second)
{
    return static_cast<std::int64_t>(announced_seconds * tokens_per_second) +
           announced_holds * demand.typical_hold;
}

} // namespace

void token_control::update_spending(
    const std::map<std::string, account_token_demand>& token_demands)
{
    const std::map<std::string, grant_summary> summaries =
        m_grant_client.grant_summaries();
    std::map<std::string, domain::spending_need> needs;
    for (const auto& [account, token_demand] : token_demands)
    {
        const bool is_bound = m_grant_client.limits().of(account).is_bound();
        if (!token_demand.is_holder && !is_bound)
        {
            continue;
        }
        domain::spending_need& need = needs[account];
        const auto grants = summaries.find(account);
        need.spent = token_demand.spent;
        need.waiting = token_demand.waiting + m_lender.lacking(account);
        need.reserve = spending_reserve(
            token_demand,
            grants == summaries.end() ? 0 : grants->second.tokens_per_second);
        const auto borrowed = m_borrower.borrowed().find(account);
        need.borrowed =
            borrowed == m_borrower.borrowed().end() ? 0 : borrowed->second;
    }
    m_spending.announce(needs);
    m_spending.inquire(m_grant_client.list_inquiries());
    m_spending.forget_routers();
}

void token_control::raise_limits()
{
    bool is_any_raised = false;
    for (const auto& [account, grants] : current_grant_summaries())
    {
        const std::int64_t limit =
            m_grant_client.limits().update(account, grants.cumulative_granted);
        is_any_raised = is_any_raised || limit > m_spending_limits[account];
    }
    if (is_any_raised)
    {
        m_changed();
        m_lender.continue_loans();
    }
}

void token_control::handle_spending(const codecs::spending_message& message)
{
    m_spending.handle(message);
}

} // namespace turmeric::drivers
