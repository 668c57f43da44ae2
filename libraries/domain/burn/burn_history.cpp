#include "libraries/domain/burn/burn_history.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

void burn_history::add(burn_sample sample)
{
    m_routers[sample.router].push_back(std::move(sample));
}

bool burn_history::is_restart(const burn_sample& before,
                              const burn_sample& after)
{
    if (before.start_s != 0 && after.start_s != 0)
    {
        return before.start_s != after.start_s;
    }
    return std::any_of(before.counts.begin(), before.counts.end(),
                       [&after](const auto& entry)
                       {
                           const auto now = after.counts.find(entry.first);
                           return now == after.counts.end() ||
                                  now->second.events < entry.second.events ||
                                  now->second.bad < entry.second.bad;
                       });
}

void burn_history::add_increase(const burn_sample* before,
                                const burn_sample& after,
                                std::map<burn_key, burn_counts>& sum)
{
    const bool starts_at_zero = before == nullptr || is_restart(*before, after);
    for (const auto& [key, now] : after.counts)
    {
        burn_counts increase = now;
        if (!starts_at_zero)
        {
            const auto then = before->counts.find(key);
            if (then != before->counts.end())
            {
                increase.events -= then->second.events;
                increase.bad -= then->second.bad;
            }
        }
        sum[key] += increase;
    }
}

bool burn_history::started_within(const burn_sample& first,
                                  time_point begin) const
{
    return first.start_s != 0 &&
           time_point(std::chrono::seconds(first.start_s)) >= begin;
}

std::map<burn_key, burn_counts>
burn_history::counts_within(time_point begin, time_point end) const
{
    std::map<burn_key, burn_counts> sum;
    for (const auto& [router, samples] : m_routers)
    {
        const burn_sample* before = nullptr;
        for (const burn_sample& sample : samples)
        {
            if (sample.is_missing || sample.time > end)
            {
                continue;
            }
            const bool is_counted =
                before != nullptr || started_within(sample, begin);
            if (sample.time > begin && is_counted)
            {
                add_increase(before, sample, sum);
            }
            before = &sample;
        }
    }
    return sum;
}

std::set<std::string> burn_history::missing_routers(time_point end) const
{
    std::set<std::string> names;
    for (const auto& [router, samples] : m_routers)
    {
        const auto last = std::find_if(samples.rbegin(), samples.rend(),
                                       [end](const burn_sample& sample)
                                       { return sample.time <= end; });
        if (last != samples.rend() && last->is_missing)
        {
            names.insert(router);
        }
    }
    return names;
}

std::map<std::string, int> burn_history::restarts(time_point begin,
                                                  time_point end) const
{
    std::map<std::string, int> counts;
    for (const auto& [router, samples] : m_routers)
    {
        const burn_sample* before = nullptr;
        for (const burn_sample& sample : samples)
        {
            if (sample.is_missing || sample.time > end)
            {
                continue;
            }
            if (before != nullptr && sample.time > begin &&
                is_restart(*before, sample))
            {
                ++counts[router];
            }
            before = &sample;
        }
    }
    return counts;
}

burn_history::time_point burn_history::oldest_sample_time(time_point end) const
{
    time_point first = end;
    for (const auto& [router, samples] : m_routers)
    {
        for (const burn_sample& sample : samples)
        {
            first = std::min(first, sample.time);
        }
    }
    return first;
}

std::set<burn_key> burn_history::keys() const
{
    std::set<burn_key> found;
    for (const auto& [router, samples] : m_routers)
    {
        for (const burn_sample& sample : samples)
        {
            for (const auto& [key, counts] : sample.counts)
            {
                found.insert(key);
            }
        }
    }
    return found;
}

} // namespace turmeric::domain
