#pragma once

#include <chrono>
#include <cstdint>

namespace turmeric::domain
{

/// Predicts, for one service, the time to the first token from the work that
/// an upstream must do before it. Fits a line by least squares with
/// exponentially decaying weights. Not thread safe.
class first_token_model
{
public:
    /// Adds one observation. `work` is in prompt tokens, as `placement::work`.
    /// Precondition: `work` is not negative.
    void add_observation(double work, std::chrono::milliseconds took);

    /// Returns whether there are enough observations for predictions.
    [[nodiscard]] bool is_ready() const;

    /// Returns the predicted time to the first token. Precondition:
    /// `is_ready()`.
    [[nodiscard]] std::chrono::milliseconds predict(double work) const;

private:
    // Weighted sums over the observations; times are in milliseconds.
    double m_weight_sum = 0;
    double m_work_sum = 0;
    double m_time_sum = 0;
    double m_work_squared_sum = 0;
    double m_work_time_sum = 0;
};

} // namespace turmeric::domain
