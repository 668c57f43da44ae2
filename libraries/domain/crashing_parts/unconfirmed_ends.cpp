#include "libraries/domain/crashing_parts/unconfirmed_ends.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace turmeric::domain
{

namespace
{

constexpr std::size_t max_unconfirmed_ends = 256;
/// Responses that were on their way while the paths were lost may arrive within
/// this time.
constexpr std::chrono::milliseconds settling_time{50};
/// How long a response to a request is waited for before probes are sent.
constexpr std::chrono::milliseconds response_wait{10};
constexpr std::chrono::milliseconds max_wait{5'000};

/// Moves the ends that satisfy a condition to the result.
template <typename condition>
std::vector<unconfirmed_end> extract(std::vector<unconfirmed_end>& ends,
                                     const condition& is_extracted)
{
    const auto first =
        std::stable_partition(ends.begin(), ends.end(),
                              [&is_extracted](const unconfirmed_end& one)
                              { return !is_extracted(one); });
    std::vector<unconfirmed_end> extracted(std::make_move_iterator(first),
                                           std::make_move_iterator(ends.end()));
    ends.erase(first, ends.end());
    return extracted;
}

} // namespace

void unconfirmed_ends::add(unconfirmed_end added)
{
    if (m_ends.size() >= max_unconfirmed_ends)
    {
        m_ends.erase(m_ends.begin());
    }
    m_ends.push_back(std::move(added));
}

std::vector<unconfirmed_end>
unconfirmed_ends::take_confirmed(const std::string& service,
                                 const std::string& upstream,
                                 ports::steady_time now)
{
    return extract(m_ends,
                   [&](const unconfirmed_end& one)
                   {
                       return one.service == service &&
                              one.upstream != upstream &&
                              now - one.end.at >= settling_time;
                   });
}

std::vector<unconfirmed_end>
unconfirmed_ends::record_probe(const std::string& service,
                               const std::string& upstream,
                               ports::probe_result result)
{
    const bool is_gone = result == ports::probe_result::failed;
    const bool is_answered = result == ports::probe_result::answered;
    for (unconfirmed_end& one : m_ends)
    {
        const bool is_same = one.upstream == upstream;
        if (one.service == service)
        {
            one.is_gone = one.is_gone || (is_same && is_gone);
            one.is_path_left = one.is_path_left || (!is_same && is_answered);
        }
    }
    if (!is_gone)
    {
        std::erase_if(
            m_ends, [&](const unconfirmed_end& one)
            { return one.service == service && one.upstream == upstream; });
    }
    return extract(m_ends, [](const unconfirmed_end& one)
                   { return one.is_gone && one.is_path_left; });
}

std::size_t unconfirmed_ends::drop(const std::string& service)
{
    return std::erase_if(m_ends, [&](const unconfirmed_end& one)
                         { return one.service == service; });
}

void unconfirmed_ends::drop_old(ports::steady_time now)
{
    std::erase_if(m_ends, [now](const unconfirmed_end& one)
                  { return now - one.end.at > max_wait; });
}

std::vector<upstream_to_probe>
unconfirmed_ends::take_upstreams_to_probe(ports::steady_time now)
{
    std::vector<upstream_to_probe> upstreams;
    for (unconfirmed_end& one : m_ends)
    {
        if (!one.is_probed && now - one.end.at >= response_wait)
        {
            one.is_probed = true;
            upstreams.push_back({one.service, one.upstream});
        }
    }
    return upstreams;
}

std::optional<ports::steady_time> unconfirmed_ends::next_probes_at() const
{
    const auto first =
        std::find_if(m_ends.begin(), m_ends.end(),
                     [](const unconfirmed_end& one) { return !one.is_probed; });
    if (first == m_ends.end())
    {
        return std::nullopt;
    }
    return first->end.at + response_wait;
}

std::size_t unconfirmed_ends::count(const std::vector<suspect_id>& ids) const
{
    std::size_t most = 0;
    for (const suspect_id& id : ids)
    {
        std::set<std::uint64_t> incarnations;
        for (const unconfirmed_end& one : m_ends)
        {
            if (std::find(one.ids.begin(), one.ids.end(), id) != one.ids.end())
            {
                incarnations.insert(one.end.incarnation);
            }
        }
        most = std::max(most, incarnations.size());
    }
    return most;
}

bool unconfirmed_ends::empty() const
{
    return m_ends.empty();
}

} // namespace turmeric::domain
