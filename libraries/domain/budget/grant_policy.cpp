#include "libraries/domain/budget/grant_policy.hpp"

#include <algorithm>

namespace turmeric::domain
{

rate_share_policy::rate_share_policy(const rate_share_settings& settings)
    : m_settings(settings)
{
}

tokens rate_share_policy::target(const grant_policy_input& input) const
{
    constexpr double seconds_per_minute = 60.0;
    if (input.is_recalled || input.rate <= 0 ||
        input.remaining <= m_settings.min_remaining_tokens)
    {
        return 0;
    }
    const double total_rate =
        static_cast<double>(std::max(input.total_rate, input.rate));
    const double remaining = static_cast<double>(input.remaining);
    const double min_remaining =
        total_rate / seconds_per_minute *
        static_cast<double>(m_settings.min_time_to_exhaustion.count());
    if (remaining < min_remaining)
    {
        return 0;
    }
    const double rate = static_cast<double>(input.rate);
    const double share =
        remaining * (1.0 - m_settings.reserve) * rate / total_rate;
    const double covered = rate / seconds_per_minute *
                           static_cast<double>(m_settings.horizon.count());
    return static_cast<tokens>(std::min(share, covered));
}

tokens rate_share_policy::reserve(const grant_policy_input& input) const
{
    return static_cast<tokens>(static_cast<double>(input.remaining) *
                               m_settings.reserve);
}

} // namespace turmeric::domain
