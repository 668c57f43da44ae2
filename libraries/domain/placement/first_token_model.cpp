#include "libraries/domain/placement/first_token_model.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmeric::domain
{

namespace
{

/// Each observation multiplies the weight of all earlier ones by this factor.
constexpr double decay_factor = 0.99;
/// Sum of weights from which on predictions are made.
constexpr double min_weight_sum = 10.0;
/// Below this variance of the work, in tokens squared, the slope cannot be
/// estimated.
constexpr double min_work_variance = 1.0;

} // namespace

void first_token_model::add_observation(double work,
                                        std::chrono::milliseconds took)
{
    assert(work >= 0);
    const double time = static_cast<double>(took.count());
    m_weight_sum = m_weight_sum * decay_factor + 1;
    m_work_sum = m_work_sum * decay_factor + work;
    m_time_sum = m_time_sum * decay_factor + time;
    m_work_squared_sum = m_work_squared_sum * decay_factor + work * work;
    m_work_time_sum = m_work_time_sum * decay_factor + work * time;
}

bool first_token_model::is_ready() const
{
    return m_weight_sum >= min_weight_sum;
}

std::chrono::milliseconds first_token_model::predict(double work) const
{
    assert(is_ready());
    const double mean_work = m_work_sum / m_weight_sum;
    const double mean_time = m_time_sum / m_weight_sum;
    const double variance =
        m_work_squared_sum / m_weight_sum - mean_work * mean_work;
    double slope = 0;
    if (variance > min_work_variance)
    {
        const double covariance =
            m_work_time_sum / m_weight_sum - mean_work * mean_time;
        slope = std::max(0.0, covariance / variance);
    }
    const double predicted = mean_time + slope * (work - mean_work);
    return std::chrono::milliseconds(std::llround(std::max(0.0, predicted)));
}

} // namespace turmeric::domain
