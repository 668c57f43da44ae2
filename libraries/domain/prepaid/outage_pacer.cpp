#include "libraries/domain/prepaid/outage_pacer.hpp"

namespace turmeric::domain
{

namespace
{

/// Duration of a store outage for which the tokens are to last.
constexpr std::chrono::milliseconds planned_outage{9'000};
/// Time for which tokens are permitted in advance, so that the first request
/// of an account is not refused.
constexpr std::chrono::milliseconds advance_time{500};

} // namespace

void outage_pacer::start(const std::map<std::string, prepaid_balance>& balances,
                         ports::steady_time outage_start,
                         ports::steady_time now)
{
    if (m_started_at)
    {
        return;
    }
    m_started_at = now;
    m_ends_at = outage_start + planned_outage;
    m_spent_at_start.clear();
    for (const auto& [account, balance] : balances)
    {
        m_spent_at_start[account] = balance.spent();
    }
}

void outage_pacer::stop()
{
    m_started_at.reset();
}

bool outage_pacer::allows(const std::string& account,
                          const prepaid_balance& balance,
                          ports::steady_time now) const
{
    if (!m_started_at || now >= m_ends_at)
    {
        return true;
    }
    const auto found = m_spent_at_start.find(account);
    const std::int64_t before =
        found == m_spent_at_start.end() ? 0 : found->second;
    const std::int64_t paced_tokens = balance.granted - before;
    const std::int64_t spent = balance.spent() - before;
    const std::chrono::duration<double> passed =
        now + advance_time - *m_started_at;
    const std::chrono::duration<double> duration =
        m_ends_at + advance_time - *m_started_at;
    const double permitted =
        static_cast<double>(paced_tokens) * (passed.count() / duration.count());
    return static_cast<double>(spent) < permitted;
}

} // namespace turmeric::domain
