#include "libraries/domain/retry/retry_budget.hpp"

#include <algorithm>

namespace turmeric::domain
{

retry_budget::retry_budget(const retry_budget_limits& limits)
    : m_limits(limits)
{
}

double& retry_budget::bucket(buckets& of, const std::string& name)
{
    return of.try_emplace(name, m_limits.burst).first->second;
}

void retry_budget::deposit(const std::string& account,
                           const std::string& upstream)
{
    for (double* saved :
         {&bucket(m_accounts, account), &bucket(m_upstreams, upstream)})
    {
        *saved = std::min(*saved + m_limits.ratio, m_limits.burst);
    }
}

bool retry_budget::try_acquire(const std::string& account,
                               const std::string& upstream)
{
    double& of_account = bucket(m_accounts, account);
    double& of_upstream = bucket(m_upstreams, upstream);
    if (of_account < 1 || of_upstream < 1)
    {
        return false;
    }
    of_account -= 1;
    of_upstream -= 1;
    return true;
}

} // namespace turmeric::domain
