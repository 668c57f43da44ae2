#include "libraries/domain/prepaid/outage_pacer.hpp"

namespace turmeric::domain
{

namespace
{

/// For how long a silence of the store is provided for.
constexpr std::chrono::milliseconds provided_silence{9'000};
/// What is due at the start, so that no account begins with a refusal.
constexpr std::chrono::milliseconds head_start{500};

} // namespace

void outage_pacer::start(const std::map<std::string, prepaid_balance>& balances,
                         ports::steady_time silent_since,
                         ports::steady_time now)
{
    if (m_started_at)
    {
        return;
    }
    m_started_at = now;
    m_ends_at = silent_since + provided_silence;
    m_spent_at_start.clear();
    for (const auto& [account, balance] : balances)
    {
        m_spent_at_start[account] = balance.used + balance.held;
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
    const std::int64_t stock = balance.granted - before;
    const std::int64_t spent = balance.used + balance.held - before;
    const std::chrono::duration<double> passed =
        now + head_start - *m_started_at;
    const std::chrono::duration<double> whole =
        m_ends_at + head_start - *m_started_at;
    const double due =
        static_cast<double>(stock) * (passed.count() / whole.count());
    return static_cast<double>(spent) < due;
}

} // namespace turmeric::domain
