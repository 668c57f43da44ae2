#include "libraries/domain/budget/backoff.hpp"

#include <algorithm>

namespace turmeric::domain
{

std::chrono::milliseconds backoff_after(std::int32_t failures, double jitter,
                                        std::chrono::milliseconds minimum,
                                        std::chrono::milliseconds maximum)
{
    constexpr std::int32_t max_doublings = 16;
    constexpr double fixed_fraction = 0.25;
    const std::int32_t doublings = std::min(failures - 1, max_doublings);
    const std::chrono::milliseconds full_backoff = std::min(
        maximum, std::chrono::milliseconds(minimum.count() << doublings));
    const double fraction = fixed_fraction + (1.0 - fixed_fraction) * jitter;
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(full_backoff.count()) * fraction));
}

} // namespace turmeric::domain
