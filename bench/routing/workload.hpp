#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace turmeric::bench
{

/// The size of a run and what its traffic looks like.
struct workload_settings
{
    std::size_t routers = 6;
    std::size_t upstreams = 9;
    std::int32_t capacity = 64;
    double requests_per_second = 41;
    double tokens_per_response = 230;
    double token_gap_ms = 40;
    /// Time to the first token with and without the prompt in the cache.
    double cached_prefill_ms = 60;
    double uncached_prefill_ms = 400;
    /// Prefixes that an upstream's cache holds.
    std::size_t cached_prefixes = 50;
    /// Prefixes in use for each upstream.
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
    /// Picks the router among the account's.
    std::uint64_t router_draw = 0;
};

/// Draws a seeded stream of requests: Poisson arrivals, Zipf accounts and
/// prefixes, exponential answer lengths. Not thread safe.
class workload
{
public:
    /// Not thread safe.
    explicit workload(const workload_settings& settings);

    /// Returns the next request. Not thread safe.
    arrival next();

    /// Returns the part of all traffic that `account` has. Not thread safe.
    [[nodiscard]] double traffic_fraction(std::size_t account) const;

    /// Returns how many accounts there are. Not thread safe.
    [[nodiscard]] std::size_t accounts() const;

private:
    workload_settings m_settings;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_account;
    std::discrete_distribution<std::size_t> m_prefix;
    double m_now_ms = 0;
};

} // namespace turmeric::bench
