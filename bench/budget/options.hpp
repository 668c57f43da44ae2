#pragma once

#include "libraries/domain/budget/grant_policy.hpp"
#include "libraries/domain/budget/router_ledger.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace turmeric::bench
{

/// The options of one run of the budget benchmark.
struct bench_options
{
    /// escrow, write_per_request, fixed_split, sole_owner, expiry_only or
    /// transfers.
    std::string policy = "escrow";
    /// none, crash, pause, outage, lost_replies, partition, top_up_partition
    /// or chaos.
    std::string fault = "none";
    std::int32_t routers = 6;
    std::int32_t accounts = 10;
    std::int32_t shards = 64;
    /// Number of routers that the callers of one account use; 0 means all.
    std::int32_t routers_per_account = 0;
    /// Fraction of the requests that the busiest account sends, 0 to 1.
    double skew = 0.4;
    double requests_per_second = 60.0;
    /// Size of each budget, in seconds of its account's average spending.
    double budget_seconds = 3600.0;
    /// Percentage of each budget that is left at the start.
    double budget_left_percent = 100.0;
    std::chrono::seconds duration{120};
    std::chrono::milliseconds tick{5};
    std::chrono::seconds horizon{4500};
    std::chrono::milliseconds commit_interval{100};
    /// Whether one committer writes each shard for all routers; otherwise each
    /// router writes its own batches.
    bool is_forwarding = true;
    double platform_writes_per_second = 280.0;
    std::chrono::milliseconds acquire_timeout{2000};
    /// A bill that waits longer for the platform is replicated to peers, and
    /// its response is delivered.
    std::chrono::milliseconds replicate_after{500};
    std::uint64_t seed = 1;
};

/// Returns the ledger settings for the policy and sizes of the options.
domain::router_ledger_settings ledger_settings(const bench_options& options);

/// Makes the grant policy that the options name.
std::unique_ptr<domain::grant_policy> make_policy(const bench_options& options);

} // namespace turmeric::bench
