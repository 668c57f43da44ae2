#include "bench/budget/options.hpp"

#include <limits>

namespace turmeric::bench
{

namespace
{

/// Grants exactly the tokens that waiting requests need.
class exact_grant_policy final : public domain::grant_policy
{
public:
    [[nodiscard]] domain::tokens
    target(const domain::grant_policy_input&) const override
    {
        return 0;
    }

    [[nodiscard]] domain::tokens
    reserve(const domain::grant_policy_input&) const override
    {
        return 0;
    }
};

constexpr domain::tokens unlimited =
    std::numeric_limits<domain::tokens>::max() / 4;

/// Never returns tokens; requests all tokens of the budget but `reserve`.
class greedy_grant_policy final : public domain::grant_policy
{
public:
    explicit greedy_grant_policy(domain::tokens reserve)
        : m_reserve(reserve)
    {
    }

    [[nodiscard]] domain::tokens
    target(const domain::grant_policy_input&) const override
    {
        return unlimited;
    }

    [[nodiscard]] domain::tokens
    reserve(const domain::grant_policy_input&) const override
    {
        return m_reserve;
    }

private:
    domain::tokens m_reserve;
};

constexpr std::chrono::seconds short_grant_term(10);

} // namespace

domain::router_ledger_settings ledger_settings(const bench_options& options)
{
    domain::router_ledger_settings settings;
    settings.shard_count = options.shards;
    settings.pending_bills = 2'000'000;
    if (options.policy == "expiry_only")
    {
        settings.grant_term = short_grant_term;
        settings.clock_skew = std::chrono::seconds(1);
        settings.refresh_interval = std::chrono::seconds(3);
    }
    if (options.policy == "write_per_request")
    {
        settings.bills_per_batch = 1;
        settings.updates_per_batch = 1;
    }
    return settings;
}

std::unique_ptr<domain::grant_policy> make_policy(const bench_options& options)
{
    if (options.policy == "write_per_request")
    {
        return std::make_unique<exact_grant_policy>();
    }
    if (options.policy == "fixed_split")
    {
        // The equal parts are granted at the start and never grow.
        return std::make_unique<greedy_grant_policy>(unlimited);
    }
    if (options.policy == "sole_owner")
    {
        return std::make_unique<greedy_grant_policy>(0);
    }
    domain::rate_share_settings settings;
    settings.horizon =
        options.policy == "expiry_only" ? short_grant_term : options.horizon;
    return std::make_unique<domain::rate_share_policy>(settings);
}

} // namespace turmeric::bench
