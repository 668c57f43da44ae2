#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace turmeric::domain
{

/// How many retries traffic earns.
struct retry_budget_limits
{
    /// Retries earned by each request.
    double ratio = 0.1;
    /// The most that can be saved up; also what a new key starts with.
    double burst = 10;
};

/// Token buckets for accounts and upstreams that grow with their traffic:
/// however many attempts fail, retries stay below burst + ratio * requests
/// of each. Not thread safe.
class retry_budget
{
public:
    /// Not thread safe.
    explicit retry_budget(const retry_budget_limits& limits);

    /// Adds what one request earns. Not thread safe.
    void deposit(const std::string& account, const std::string& upstream);

    /// Takes one retry from both buckets, or nothing from either and returns
    /// false. Not thread safe.
    bool try_acquire(const std::string& account, const std::string& upstream);

private:
    using buckets = std::map<std::string, double>;

    double& bucket(buckets& of, const std::string& name);

    retry_budget_limits m_limits;
    buckets m_accounts;
    buckets m_upstreams;
};

} // namespace turmeric::domain
