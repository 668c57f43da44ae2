#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace turmeric::domain
{

/// The size and refill of the token buckets of a retry budget.
struct retry_budget_limits
{
    /// Retries that each request adds to its buckets.
    double ratio = 0.1;
    /// The capacity of a bucket; a new bucket is full.
    double burst = 10;
};

/// Limits retries by a token bucket for each account and each upstream, which
/// requests refill. However many attempts fail, the retries of each are at most
/// burst + ratio * requests. Not thread safe.
class retry_budget
{
public:
    /// Not thread safe.
    explicit retry_budget(const retry_budget_limits& limits);

    /// Adds `ratio` of a retry to both buckets, for one request. Not thread
    /// safe.
    void deposit(const std::string& account, const std::string& upstream);

    /// Takes one retry from both buckets. Returns false and takes nothing when
    /// either bucket has less than one. Not thread safe.
    bool try_acquire(const std::string& account, const std::string& upstream);

private:
    using buckets = std::map<std::string, double>;

    double& bucket(buckets& of, const std::string& name);

    retry_budget_limits m_limits;
    buckets m_accounts;
    buckets m_upstreams;
};

} // namespace turmeric::domain
