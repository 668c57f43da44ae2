#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace turmeric::bench
{

/// The size of the fleet and the distributions of its traffic.
struct workload_settings
{
    std::size_t routers = 6;
    std::size_t upstreams = 9;
    std::int32_t capacity = 64;
    double requests_per_second = 41;
    double tokens_per_response = 230;
    double token_gap_ms = 40;
    /// Time to the first token with and without the prompt's prefix in the
    /// upstream's cache.
    double cached_prefill_ms = 60;
    double uncached_prefill_ms = 400;
    /// Capacity of an upstream's cache, in prefixes.
    std::size_t cached_prefixes = 50;
    /// Number of different prefixes in the traffic, for each upstream.
    std::size_t prefixes_per_upstream = 40;
    std::size_t min_accounts = 10;
    std::uint64_t seed = 20261204;
};

/// A request as it arrives.
struct arrival
{
    double at_ms = 0;
    std::size_t account = 0;
    std::uint64_t prefix = 0;
    double decode_ms = 0;
    /// Random number that selects one of the account's routers.
    std::uint64_t router_draw = 0;
};

/// Generates a seeded stream of requests: Poisson arrivals, accounts and
/// prefixes with a Zipf distribution, exponential response lengths. Not thread
/// safe.
class workload
{
public:
    /// Prepares the distributions. Not thread safe.
    explicit workload(const workload_settings& settings);

    /// Returns the next request. Not thread safe.
    arrival next();

    /// Returns the fraction of all traffic that `account` sends. Not thread
    /// safe.
    [[nodiscard]] double traffic_fraction(std::size_t account) const;

    /// Returns the number of accounts. Not thread safe.
    [[nodiscard]] std::size_t accounts() const;

private:
    workload_settings m_settings;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_account;
    std::discrete_distribution<std::size_t> m_prefix;
    double m_now_ms = 0;
};

} // namespace turmeric::bench
