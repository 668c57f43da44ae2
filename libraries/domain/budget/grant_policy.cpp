#include "libraries/domain/budget/grant_policy.hpp"

#include <algorithm>

namespace turmeric::domain
{

rate_share_policy::rate_share_policy(const rate_share_settings& settings)
    : m_settings(settings)
{
}

tokens rate_share_policy::target(const grant_situation& situation) const
{
    constexpr double seconds_per_minute = 60.0;
    if (situation.is_recalled || situation.rate <= 0 ||
        situation.remaining <= m_settings.exact_below_tokens)
    {
        return 0;
    }
    const double total_rate =
        static_cast<double>(std::max(situation.total_rate, situation.rate));
    const double remaining = static_cast<double>(situation.remaining);
    const double exact_below =
        total_rate / seconds_per_minute *
        static_cast<double>(m_settings.exact_below.count());
    if (remaining < exact_below)
    {
        return 0;
    }
    const double rate = static_cast<double>(situation.rate);
    const double share =
        remaining * (1.0 - m_settings.reserve) * rate / total_rate;
    const double covered = rate / seconds_per_minute *
                           static_cast<double>(m_settings.horizon.count());
    return static_cast<tokens>(std::min(share, covered));
}

tokens rate_share_policy::reserve(const grant_situation& situation) const
{
    return static_cast<tokens>(static_cast<double>(situation.remaining) *
                               m_settings.reserve);
}

} // namespace turmeric::domain
