#pragma once

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// Learns, for one service, how long the first output takes from how much an
/// upstream had before it: a line fitted by least squares in which older
/// observations fade. Not thread safe.
class first_token_model
{
public:
    /// Learns one observation. `work` is in prompt tokens, as the placement
    /// counted it. Precondition: `work` is not negative.
    void add_observation(double work, std::chrono::milliseconds took);

    /// Tells whether enough was seen for predictions.
    [[nodiscard]] bool is_ready() const;

    /// Returns how long the first output is likely to take. Precondition:
    /// `is_ready()`.
    [[nodiscard]] std::chrono::milliseconds predict(double work) const;

private:
    double m_weight = 0;
    double m_work = 0;
    double m_time = 0;
    double m_work_squared = 0;
    double m_work_time = 0;
};

} // namespace turmeric::domain
