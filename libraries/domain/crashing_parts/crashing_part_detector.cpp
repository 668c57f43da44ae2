#include "libraries/domain/crashing_parts/crashing_part_detector.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// Parts of one prompt that become suspects; callers choose their number.
constexpr std::size_t max_parts_per_prompt = 256;
constexpr std::size_t max_suspects = 512;
constexpr std::size_t max_reported_suspects = 28;
/// Further suspects that are reported in turn.
constexpr std::size_t reported_in_turn = 4;
/// How long a new observation is reported to the peers, and how long a cleared
/// part is remembered.
constexpr std::chrono::seconds observation_report_time{5};
/// A part is forgotten after this time without a request or an end.
constexpr std::chrono::minutes suspect_retention{5};
constexpr std::chrono::minutes block_retention{60};
/// Parts whose last response is remembered, times two.
constexpr std::size_t max_successes = 1'024;
/// The wait before the first trial. Each further wait is twice as long.
constexpr std::chrono::minutes first_trial_delay{2};
constexpr std::int32_t max_trials = 2;

std::size_t count_shared_parts(const prompt_description& prompt)
{
    constexpr std::size_t own_parts = 1;
    const std::size_t shared =
        prompt.parts.size() - std::min(own_parts, prompt.parts.size());
    return std::min(shared, max_parts_per_prompt);
}

/// Orders suspects by how much their peers should know them.
bool is_less_urgent(const suspect_part& left, const suspect_part& right)
{
    return std::pair(left.ends.size(), left.last_seen) <
           std::pair(right.ends.size(), right.last_seen);
}

} // namespace

void crashing_part_detector::set_routers(const router_ranking& routers)
{
    m_routers = routers;
}

crashing_part_detector::tracked_part&
crashing_part_detector::find_or_add(std::uint64_t id)
{
    tracked_part& found = m_suspects[id];
    found.part.id = id;
    return found;
}

bool crashing_part_detector::record_end(const prompt_description& prompt,
                                        std::uint64_t incarnation,
                                        ports::steady_time now)
{
    bool is_repeated = false;
    const std::size_t shared = count_shared_parts(prompt);
    for (std::size_t part = 0; part < shared; ++part)
    {
        tracked_part& suspect = find_or_add(prompt.parts[part].id);
        suspect.part.last_seen = std::max(suspect.part.last_seen, now);
        if (add_end(suspect.part, {incarnation, now, m_output_at}))
        {
            suspect.observed_at = now;
            is_repeated = is_repeated || suspect.part.ends.size() > 1;
        }
    }
    limit_size();
    return is_repeated;
}

void crashing_part_detector::record_output(ports::steady_time now)
{
    m_output_at = std::max(m_output_at, now);
}

void crashing_part_detector::record_success(const prompt_description& prompt,
                                            ports::steady_time began_at,
                                            ports::steady_time now)
{
    const std::size_t shared = count_shared_parts(prompt);
    for (std::size_t part = 0; part < shared; ++part)
    {
        const std::uint64_t id = prompt.parts[part].id;
        remember_success(id, began_at);
        const auto found = m_suspects.find(id);
        if (found != m_suspects.end() &&
            clear_until(found->second.part, began_at))
        {
            found->second.observed_at = now;
        }
    }
}

void crashing_part_detector::remember_success(std::uint64_t id,
                                              ports::steady_time began_at)
{
    ports::steady_time& last = m_successes[id];
    last = std::max(last, began_at);
    if (m_successes.size() >= max_successes)
    {
        m_older_successes = std::exchange(m_successes, {});
    }
}

std::optional<ports::steady_time>
crashing_part_detector::find_success(std::uint64_t id) const
{
    for (const auto* const successes : {&m_successes, &m_older_successes})
    {
        const auto found = successes->find(id);
        if (found != successes->end())
        {
            return found->second;
        }
    }
    return std::nullopt;
}

void crashing_part_detector::merge(const std::vector<suspect_part>& reported,
                                   ports::steady_time now)
{
    for (const suspect_part& one : reported)
    {
        tracked_part& suspect = find_or_add(one.id);
        const std::optional<ports::steady_time> success = find_success(one.id);
        const bool is_cleared_here =
            success && !one.ends.empty() && *success >= one.ends.front().at;
        if (is_cleared_here)
        {
            clear_until(suspect.part, *success);
            suspect.observed_at = now;
        }
        suspect.part.last_seen =
            std::max(suspect.part.last_seen, one.last_seen);
        if (one.cleared_at)
        {
            clear_until(suspect.part, *one.cleared_at);
        }
        for (const observed_end& end : one.ends)
        {
            record_output(end.output_at);
            add_end(suspect.part, end);
        }
        suspect.part.trials = std::max(suspect.part.trials, one.trials);
    }
    limit_size();
}

const suspect_part*
crashing_part_detector::find_worst(const prompt_description& prompt) const
{
    const suspect_part* worst = nullptr;
    const std::size_t shared = count_shared_parts(prompt);
    for (std::size_t part = 0; part < shared && !m_suspects.empty(); ++part)
    {
        const auto found = m_suspects.find(prompt.parts[part].id);
        if (found != m_suspects.end() &&
            (worst == nullptr ||
             found->second.part.ends.size() > worst->ends.size()))
        {
            worst = &found->second.part;
        }
    }
    return worst;
}

bool crashing_part_detector::is_trial_due(const suspect_part& suspect,
                                          ports::steady_time now) const
{
    return suspect.trials < max_trials && m_routers.is_first_for(suspect.id) &&
           now - suspect.ends.back().at >=
               first_trial_delay * (1 << suspect.trials);
}

part_verdict crashing_part_detector::judge(const prompt_description& prompt,
                                           ports::steady_time now)
{
    const suspect_part* worst = find_worst(prompt);
    if (worst == nullptr)
    {
        return part_verdict::allowed;
    }
    suspect_part& suspect = m_suspects[worst->id].part;
    suspect.last_seen = std::max(suspect.last_seen, now);
    if (!is_part_blocked(suspect))
    {
        return part_verdict::allowed;
    }
    if (!is_trial_due(suspect, now))
    {
        return part_verdict::blocked;
    }
    ++suspect.trials;
    return part_verdict::trial;
}

bool crashing_part_detector::is_blocked(const prompt_description& prompt) const
{
    const suspect_part* worst = find_worst(prompt);
    return worst != nullptr && is_part_blocked(*worst);
}

bool crashing_part_detector::may_retry(const prompt_description& prompt) const
{
    const suspect_part* worst = find_worst(prompt);
    return worst == nullptr || worst->ends.size() <= 1;
}

std::vector<suspect_part> crashing_part_detector::report(ports::steady_time now)
{
    std::vector<suspect_part> reported;
    for (const auto& [id, suspect] : m_suspects)
    {
        if (is_part_blocked(suspect.part) ||
            now - suspect.observed_at <= observation_report_time)
        {
            reported.push_back(suspect.part);
        }
    }
    std::sort(reported.begin(), reported.end(),
              [](const suspect_part& left, const suspect_part& right)
              { return is_less_urgent(right, left); });
    reported.resize(std::min(reported.size(), max_reported_suspects));
    auto next = m_suspects.lower_bound(m_next_reported);
    for (std::size_t count = 0;
         count < std::min(reported_in_turn, m_suspects.size()); ++count)
    {
        if (next == m_suspects.end())
        {
            next = m_suspects.begin();
        }
        reported.push_back(next->second.part);
        ++next;
    }
    m_next_reported = next == m_suspects.end() ? 0 : next->first;
    return reported;
}

void crashing_part_detector::forget_unseen(ports::steady_time now)
{
    std::erase_if(m_suspects,
                  [now](const auto& entry)
                  {
                      const suspect_part& suspect = entry.second.part;
                      const bool is_reported = now - entry.second.observed_at <=
                                               observation_report_time;
                      const auto retention = is_part_blocked(suspect)
                                                 ? block_retention
                                                 : suspect_retention;
                      return (suspect.ends.empty() && !is_reported) ||
                             now - suspect.last_seen > retention;
                  });
}

void crashing_part_detector::limit_size()
{
    while (m_suspects.size() > max_suspects)
    {
        const auto least = std::min_element(
            m_suspects.begin(), m_suspects.end(),
            [](const auto& left, const auto& right)
            { return is_less_urgent(left.second.part, right.second.part); });
        m_suspects.erase(least);
    }
}

std::size_t crashing_part_detector::blocked_count() const
{
    return static_cast<std::size_t>(std::count_if(
        m_suspects.begin(), m_suspects.end(),
        [](const auto& entry) { return is_part_blocked(entry.second.part); }));
}

} // namespace turmeric::domain
