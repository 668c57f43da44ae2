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
    for (double* retries :
         {&bucket(m_accounts, account), &bucket(m_upstreams, upstream)})
    {
        *retries = std::min(*retries + m_limits.ratio, m_limits.burst);
    }
}

bool retry_budget::try_acquire(const std::string& account,
                               const std::string& upstream)
{
    double& account_retries = bucket(m_accounts, account);
    double& upstream_retries = bucket(m_upstreams, upstream);
    if (account_retries < 1 || upstream_retries < 1)
    {
        return false;
    }
    account_retries -= 1;
    upstream_retries -= 1;
    return true;
}

} // namespace turmeric::domain
