#include "bench/moves/version_model.hpp"

#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <numbers>

namespace turmeric::bench
{

namespace
{

constexpr std::size_t factor_count = 4096;
constexpr double latency_sigma = 0.4;
constexpr double first_token_median_us = 190'000;
constexpr double token_gap_median_us = 20'000;
constexpr double base_failure_rate = 0.003;
constexpr double drift_amplitude = 0.1;
constexpr double drift_period_s = 7200;

} // namespace

version_model::version_model(const move_scenario& scenario)
    : m_scenario(scenario)
    , m_latency_factors(factor_count)
{
    const boost::math::normal_distribution<double> normal(0, latency_sigma);
    for (std::size_t index = 0; index < factor_count; ++index)
    {
        const double fraction =
            (static_cast<double>(index) + 0.5) / factor_count;
        m_latency_factors[index] =
            std::exp(boost::math::quantile(normal, fraction));
    }
}

bool version_model::is_bad(double at_s, double fraction, double soak_s) const
{
    constexpr double bad_after_soaking_s = 10;
    switch (m_scenario.kind)
    {
    case version_kind::good:
        return false;
    case version_kind::bad_at_once:
        return true;
    case version_kind::bad_later:
        return at_s >= m_scenario.turns_bad_at_s;
    case version_kind::bad_in_soak:
        return soak_s >= bad_after_soaking_s;
    case version_kind::bad_under_load:
        return fraction > m_scenario.max_tolerated_fraction;
    }
    return false;
}

std::chrono::microseconds version_model::latency(double median_us,
                                                 std::mt19937_64& random) const
{
    const double factor = m_latency_factors[random() % factor_count];
    return std::chrono::microseconds(std::llround(median_us * factor));
}

domain::request_observation version_model::draw(bool is_new, bool is_bad,
                                                double at_s,
                                                std::mt19937_64& random) const
{
    double failure_rate = base_failure_rate;
    double factor = 1 + drift_amplitude * std::sin(m_scenario.drift_phase +
                                                   2 * std::numbers::pi * at_s /
                                                       drift_period_s);
    for (const shared_disturbance& disturbance : m_scenario.disturbances)
    {
        if (at_s >= disturbance.begin_s && at_s < disturbance.end_s)
        {
            failure_rate += disturbance.extra_failures;
            factor *= disturbance.latency_factor;
        }
    }
    factor *= is_new ? m_scenario.new_version_latency_factor : 1;
    const version_defect defect = is_bad ? m_scenario.defect : version_defect{};
    failure_rate = std::max(failure_rate, defect.failure_rate);
    domain::request_observation observation;
    constexpr double random_range = 18446744073709551616.0;
    observation.is_failure =
        static_cast<double>(random()) < failure_rate * random_range;
    if (!observation.is_failure)
    {
        observation.first_token = latency(
            first_token_median_us * factor * defect.first_token_factor, random);
        observation.worst_gap = latency(
            token_gap_median_us * factor * defect.token_gap_factor, random);
    }
    return observation;
}

} // namespace turmeric::bench
