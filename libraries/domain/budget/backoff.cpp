#include "libraries/domain/budget/backoff.hpp"

#include <algorithm>

namespace turmeric::domain
{

std::chrono::milliseconds backoff_after(std::int32_t failures, double jitter,
                                        std::chrono::milliseconds least,
                                        std::chrono::milliseconds most)
{
    constexpr std::int32_t most_doublings = 16;
    constexpr double fixed_part = 0.25;
    const std::int32_t doublings = std::min(failures - 1, most_doublings);
    const std::chrono::milliseconds whole =
        std::min(most, std::chrono::milliseconds(least.count() << doublings));
    const double part = fixed_part + (1.0 - fixed_part) * jitter;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

} // namespace turmeric::domain
