#pragma once

#include "libraries/domain/budget/grant_policy.hpp"
#include "libraries/domain/budget/router_ledger.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace turmeric::bench
{

/// What one run of the benchmark is about.
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
    /// Routers that an account's callers are sent to; 0 means all.
    std::int32_t routers_per_account = 0;
    /// Part of the requests that the busiest account sends.
    double skew = 0.4;
    double requests_per_second = 60.0;
    /// Tokens in each budget, as seconds of its account's average spending.
    double budget_seconds = 3600.0;
    /// Part of the budget that is left at the start, in percent.
    double budget_left_percent = 100.0;
    std::chrono::seconds duration{120};
    std::chrono::milliseconds tick{5};
    std::chrono::seconds horizon{4500};
    std::chrono::milliseconds commit_interval{100};
    /// One committer a shard instead of each router for itself.
    bool is_forwarding = true;
    double platform_writes_per_second = 280.0;
    std::chrono::milliseconds acquire_timeout{2000};
    /// Bills that wait longer are copied to peers and delivered.
    std::chrono::milliseconds replicate_after{500};
    std::uint64_t seed = 1;
};

/// Returns the ledger settings that the options ask for.
domain::router_ledger_settings ledger_settings(const bench_options& options);

/// Makes the grant policy that the options ask for.
std::unique_ptr<domain::grant_policy> make_policy(const bench_options& options);

} // namespace turmeric::bench
