#include "libraries/domain/placement/first_token_model.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmeric::domain
{

namespace
{

/// What one observation leaves of the weight of the earlier ones.
constexpr double fading = 0.99;
constexpr double least_weight = 10.0;
/// Below this spread of the work no slope can be told.
constexpr double least_variance = 1.0;

} // namespace

void first_token_model::add_observation(double work,
                                        std::chrono::milliseconds took)
{
    assert(work >= 0);
    const double time = static_cast<double>(took.count());
    m_weight = m_weight * fading + 1;
    m_work = m_work * fading + work;
    m_time = m_time * fading + time;
    m_work_squared = m_work_squared * fading + work * work;
    m_work_time = m_work_time * fading + work * time;
}

bool first_token_model::is_ready() const
{
    return m_weight >= least_weight;
}

std::chrono::milliseconds first_token_model::predict(double work) const
{
    assert(is_ready());
    const double mean_work = m_work / m_weight;
    const double mean_time = m_time / m_weight;
    const double variance = m_work_squared / m_weight - mean_work * mean_work;
    double slope = 0;
    if (variance > least_variance)
    {
        const double covariance =
            m_work_time / m_weight - mean_work * mean_time;
        slope = std::max(0.0, covariance / variance);
    }
    const double predicted = mean_time + slope * (work - mean_work);
    return std::chrono::milliseconds(std::llround(std::max(0.0, predicted)));
}

} // namespace turmeric::domain
