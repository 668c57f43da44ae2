#include "bench/moves/verdict_policy.hpp"

#include <array>

namespace turmeric::bench
{

namespace
{

constexpr std::array<double, domain::judged_property_count> fixed_thresholds = {
    0.05, 0.2, 0.2};
constexpr std::int64_t min_requests = 20;
constexpr double threshold_window_s = 60;

domain::version_verdict judge_by_thresholds(const domain::version_tally& tally)
{
    for (std::size_t index = 0; index < fixed_thresholds.size(); ++index)
    {
        const domain::proportion& count = tally.counts[index];
        if (count.trials >= min_requests &&
            static_cast<double>(count.hits) >
                fixed_thresholds[index] * static_cast<double>(count.trials))
        {
            return {true, static_cast<domain::judged_property>(index), 1};
        }
    }
    return {};
}

} // namespace

std::unique_ptr<verdict_policy> make_policy(std::string_view name,
                                            double window_s)
{
    if (name == "sequential")
    {
        return std::make_unique<sequential_policy>(window_s);
    }
    if (name == "threshold")
    {
        return std::make_unique<threshold_policy>();
    }
    if (name == "schedule")
    {
        return std::make_unique<schedule_policy>();
    }
    return nullptr;
}

sequential_policy::sequential_policy(double window_s)
    : m_judge(domain::judge_settings{}, domain::tally_pair{})
    , m_window_interval_s(
          window_s /
          static_cast<double>(domain::judge_settings{}.planned_windows))
{
}

domain::version_verdict sequential_policy::judge(const domain::tally_pair& now,
                                                 double at_s,
                                                 bool /*is_step_end*/)
{
    const domain::version_verdict verdict = m_judge.judge(now);
    if (at_s - m_window_start_s >= m_window_interval_s)
    {
        m_judge.start_window(now);
        m_window_start_s = at_s;
    }
    return verdict;
}

bool sequential_policy::has_local_cut() const
{
    return true;
}

domain::version_verdict threshold_policy::judge(const domain::tally_pair& now,
                                                double at_s,
                                                bool /*is_step_end*/)
{
    m_recent_tallies.emplace_back(at_s, now);
    while (m_recent_tallies.front().first < at_s - threshold_window_s)
    {
        m_recent_tallies.pop_front();
    }
    return judge_by_thresholds((now - m_recent_tallies.front().second).to);
}

bool threshold_policy::has_local_cut() const
{
    return false;
}

domain::version_verdict schedule_policy::judge(const domain::tally_pair& now,
                                               double /*at_s*/,
                                               bool is_step_end)
{
    if (!is_step_end)
    {
        return {};
    }
    const domain::version_verdict verdict =
        judge_by_thresholds((now - m_step_start).to);
    m_step_start = now;
    return verdict;
}

bool schedule_policy::has_local_cut() const
{
    return false;
}

} // namespace turmeric::bench
