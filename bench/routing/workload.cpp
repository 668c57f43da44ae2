#include "bench/routing/workload.hpp"

#include <algorithm>
#include <cmath>

namespace turmeric::bench
{

namespace
{

constexpr double zipf_exponent = 0.8;

std::discrete_distribution<std::size_t> make_zipf(std::size_t count)
{
    std::vector<double> weights;
    weights.reserve(count);
    for (std::size_t rank = 1; rank <= count; ++rank)
    {
        weights.push_back(1.0 /
                          std::pow(static_cast<double>(rank), zipf_exponent));
    }
    return {weights.begin(), weights.end()};
}

} // namespace

workload::workload(const workload_settings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    std::size_t accounts = std::max(settings.min_accounts, settings.upstreams);
    std::size_t prefixes =
        settings.prefixes_per_upstream * settings.upstreams / accounts;
    m_account = make_zipf(accounts);
    m_prefix = make_zipf(std::max<std::size_t>(prefixes, 1));
}

arrival workload::next()
{
    constexpr double ms_per_second = 1000;
    std::exponential_distribution<double> gap(m_settings.requests_per_second /
                                              ms_per_second);
    std::exponential_distribution<double> length(
        1.0 / m_settings.tokens_per_response);
    m_now_ms += gap(m_random);
    arrival next_arrival;
    next_arrival.at_ms = m_now_ms;
    next_arrival.account = m_account(m_random);
    next_arrival.prefix =
        next_arrival.account * m_prefix.probabilities().size() +
        m_prefix(m_random);
    next_arrival.decode_ms = length(m_random) * m_settings.token_gap_ms;
    next_arrival.router_draw = m_random();
    return next_arrival;
}

double workload::traffic_fraction(std::size_t account) const
{
    return m_account.probabilities()[account];
}

std::size_t workload::accounts() const
{
    return m_account.probabilities().size();
}

} // namespace turmeric::bench
