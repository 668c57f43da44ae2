#include "libraries/domain/crashing_parts/crashing_part_detector.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmeric::domain
{

namespace
{

constexpr std::size_t max_suspects = 512;
/// Of each kind.
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
/// The ends of upstreams that are remembered.
constexpr std::size_t max_remembered_ends = 1'024;
/// The wait before the first trial. Each further wait is twice as long. It is
/// shorter for a request, whose block rests on fewer observations.
constexpr std::chrono::seconds first_trial_delay_of_part{120};
constexpr std::chrono::seconds first_trial_delay_of_request{30};
constexpr std::int32_t max_trials = 2;

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
crashing_part_detector::find_or_add(const suspect_id& id)
{
    tracked_part& found = m_suspects[id];
    found.part.id = id;
    return found;
}

observed_end crashing_part_detector::make_end(std::uint64_t incarnation,
                                              ports::steady_time now) const
{
    return {incarnation, now, m_output_at};
}

bool crashing_part_detector::record_end(const std::vector<suspect_id>& ids,
                                        std::uint64_t incarnation,
                                        ports::steady_time now)
{
    return record_end(ids, make_end(incarnation, now), now);
}

bool crashing_part_detector::record_end(const std::vector<suspect_id>& ids,
                                        const observed_end& end,
                                        ports::steady_time now)
{
    remember_end(end.incarnation, end.at);
    bool is_repeated = false;
    for (const suspect_id& id : ids)
    {
        const std::optional<ports::steady_time> success = find_success(id);
        if (success && *success > end.at)
        {
            continue;
        }
        tracked_part& suspect = find_or_add(id);
        suspect.part.last_seen = std::max(suspect.part.last_seen, now);
        if (add_end(suspect.part, end))
        {
            suspect.observed_at = now;
            is_repeated = is_repeated || suspect.part.ends.size() > 1;
        }
    }
    limit_size();
    return is_repeated;
}

void crashing_part_detector::remember_end(std::uint64_t incarnation,
                                          ports::steady_time at)
{
    if (!m_ended.insert(incarnation).second)
    {
        return;
    }
    m_ends.emplace(at, incarnation);
    if (m_ends.size() > max_remembered_ends)
    {
        m_ended.erase(m_ends.begin()->second);
        m_ends.erase(m_ends.begin());
    }
}

void crashing_part_detector::record_output(ports::steady_time now)
{
    m_output_at = std::max(m_output_at, now);
}

void crashing_part_detector::record_success(const std::vector<suspect_id>& ids,
                                            ports::steady_time began_at,
                                            ports::steady_time now)
{
    for (const suspect_id& id : ids)
    {
        remember_success(id, began_at);
        const auto found = m_suspects.find(id);
        if (found != m_suspects.end() &&
            clear_until(found->second.part, began_at))
        {
            found->second.observed_at = now;
        }
    }
}

void crashing_part_detector::remember_success(const suspect_id& id,
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
crashing_part_detector::find_success(const suspect_id& id) const
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
            remember_end(end.incarnation, end.at);
            add_end(suspect.part, end);
        }
        suspect.part.trials = std::max(suspect.part.trials, one.trials);
    }
    limit_size();
}

bool crashing_part_detector::is_blocked(const suspect_part& suspect) const
{
    return suspect.ends.size() >= ends_to_block &&
           count_ends(suspect, m_ends) >= ends_to_block;
}

const suspect_part*
crashing_part_detector::find_worst(const std::vector<suspect_id>& ids) const
{
    const suspect_part* worst = nullptr;
    std::size_t most_ends = 0;
    for (const suspect_id& id : ids)
    {
        const auto found = m_suspects.find(id);
        if (found == m_suspects.end())
        {
            continue;
        }
        const std::size_t ends = count_ends(found->second.part, m_ends);
        if (worst == nullptr || ends > most_ends)
        {
            worst = &found->second.part;
            most_ends = ends;
        }
    }
    return worst;
}

bool crashing_part_detector::is_trial_due(const suspect_part& suspect,
                                          ports::steady_time now) const
{
    const std::chrono::seconds first_delay =
        suspect.id.kind == suspect_kind::request ? first_trial_delay_of_request
                                                 : first_trial_delay_of_part;
    return suspect.trials < max_trials &&
           m_routers.is_first_for(suspect.id.value) &&
           now - suspect.ends.back().at >= first_delay * (1 << suspect.trials);
}

crash_verdict crashing_part_detector::judge(const std::vector<suspect_id>& ids,
                                            ports::steady_time now)
{
    const suspect_part* worst = find_worst(ids);
    if (worst == nullptr)
    {
        return crash_verdict::allowed;
    }
    suspect_part& suspect = m_suspects[worst->id].part;
    suspect.last_seen = std::max(suspect.last_seen, now);
    if (!is_blocked(suspect))
    {
        return crash_verdict::allowed;
    }
    if (!is_trial_due(suspect, now))
    {
        return crash_verdict::blocked;
    }
    ++suspect.trials;
    return crash_verdict::trial;
}

std::optional<suspect_id>
crashing_part_detector::find_blocked(const std::vector<suspect_id>& ids) const
{
    const suspect_part* worst = find_worst(ids);
    return worst != nullptr && is_blocked(*worst) ? std::optional(worst->id)
                                                  : std::nullopt;
}

bool crashing_part_detector::may_retry(const std::vector<suspect_id>& ids,
                                       std::size_t unconfirmed_ends) const
{
    const suspect_part* worst = find_worst(ids);
    const std::size_t ends = worst == nullptr ? 0 : count_ends(*worst, m_ends);
    return ends + unconfirmed_ends <= 1;
}

bool crashing_part_detector::has_suspect_requests() const
{
    return m_suspects.lower_bound({suspect_kind::request, 0}) !=
           m_suspects.end();
}

std::vector<suspect_id> crashing_part_detector::list_blocked() const
{
    std::vector<suspect_id> blocked;
    for (const auto& [id, suspect] : m_suspects)
    {
        if (is_blocked(suspect.part))
        {
            blocked.push_back(id);
        }
    }
    return blocked;
}

std::vector<suspect_part>
crashing_part_detector::list_urgent(suspect_kind kind,
                                    ports::steady_time now) const
{
    std::vector<suspect_part> reported;
    for (const auto& [id, suspect] : m_suspects)
    {
        if (id.kind != kind)
        {
            continue;
        }
        if (is_blocked(suspect.part) ||
            now - suspect.observed_at <= observation_report_time)
        {
            reported.push_back(suspect.part);
        }
    }
    std::sort(reported.begin(), reported.end(),
              [](const suspect_part& left, const suspect_part& right)
              { return is_less_urgent(right, left); });
    reported.resize(std::min(reported.size(), max_reported_suspects));
    return reported;
}

std::vector<suspect_part> crashing_part_detector::report(ports::steady_time now)
{
    std::vector<suspect_part> reported =
        list_urgent(suspect_kind::prompt_part, now);
    const std::vector<suspect_part> requests =
        list_urgent(suspect_kind::request, now);
    reported.insert(reported.end(), requests.begin(), requests.end());
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
    m_next_reported = next == m_suspects.end() ? suspect_id() : next->first;
    return reported;
}

void crashing_part_detector::forget_unseen(ports::steady_time now)
{
    std::erase_if(m_suspects,
                  [this, now](const auto& entry)
                  {
                      const suspect_part& suspect = entry.second.part;
                      const bool is_reported = now - entry.second.observed_at <=
                                               observation_report_time;
                      const auto retention = is_blocked(suspect)
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

std::size_t crashing_part_detector::blocked_count(suspect_kind kind) const
{
    const std::vector<suspect_id> blocked = list_blocked();
    return static_cast<std::size_t>(std::count_if(
        blocked.begin(), blocked.end(),
        [kind](const suspect_id& id) { return id.kind == kind; }));
}

} // namespace turmeric::domain
