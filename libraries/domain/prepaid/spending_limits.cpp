#include "libraries/domain/prepaid/spending_limits.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmeric::domain
{

spending_limits::spending_limits(std::string self)
    : m_self(std::move(self))
{
}

void spending_limits::set_peers(const std::set<std::string>& peers)
{
    if (peers == m_peers)
    {
        return;
    }
    m_peers = peers;
    std::erase_if(m_candidates, [&](const std::string& candidate)
                  { return peers.count(candidate) == 0; });
    const std::uint64_t key = digest_of(m_self);
    std::map<std::uint64_t, std::string> ranked;
    for (const std::string& peer : peers)
    {
        ranked.emplace(rank_of(key, digest_of(peer)), peer);
    }
    for (auto next = ranked.rbegin();
         next != ranked.rend() && m_candidates.size() < max_witnesses; ++next)
    {
        m_candidates.insert(next->second);
    }
    const std::set<std::string> receivers = list_receivers();
    for (auto& [account, limit] : m_limits)
    {
        limit.forget_others(receivers);
    }
}

std::set<std::string> spending_limits::list_receivers() const
{
    std::set<std::string> receivers = required();
    receivers.insert(m_candidates.begin(), m_candidates.end());
    return receivers;
}

spending_limit& spending_limits::of(const std::string& account)
{
    return m_limits[account];
}

std::int64_t spending_limits::update(const std::string& account,
                                     std::int64_t total)
{
    return m_limits[account].update(total, required());
}

bool spending_limits::can_bind(const std::string& account) const
{
    const std::set<std::string> witnesses = required();
    const auto limit = m_limits.find(account);
    return witnesses.empty() ||
           (limit != m_limits.end() &&
            std::all_of(witnesses.begin(), witnesses.end(),
                        [&](const std::string& witness)
                        { return limit->second.has_confirmed(witness); }));
}

std::set<std::string> spending_limits::choose_witnesses() const
{
    std::set<std::string> chosen;
    std::copy_if(m_candidates.begin(), m_candidates.end(),
                 std::inserter(chosen, chosen.end()),
                 [this](const std::string& candidate)
                 {
                     return std::all_of(m_limits.begin(), m_limits.end(),
                                        [&](const auto& entry) {
                                            return !entry.second.is_bound() ||
                                                   entry.second.has_confirmed(
                                                       candidate);
                                        });
                 });
    return chosen;
}

bool spending_limits::is_change_due() const
{
    const bool is_any_bound =
        std::any_of(m_limits.begin(), m_limits.end(),
                    [](const auto& entry) { return entry.second.is_bound(); });
    return is_any_bound &&
           (is_any_lost() || choose_witnesses().size() > m_recorded.size());
}

bool spending_limits::is_any_lost() const
{
    return std::any_of(m_recorded.begin(), m_recorded.end(),
                       [this](const std::string& witness)
                       { return m_candidates.count(witness) == 0; });
}

void spending_limits::propose(const std::set<std::string>& witnesses,
                              ports::revision expected)
{
    m_proposed.insert(witnesses.begin(), witnesses.end());
    m_proposed_at = expected;
}

void spending_limits::set_recorded(std::set<std::string> witnesses,
                                   ports::revision at)
{
    m_recorded = std::move(witnesses);
    if (at != m_proposed_at)
    {
        m_proposed.clear();
    }
}

void spending_limits::begin_era()
{
    m_recorded.clear();
    m_proposed.clear();
    for (auto& [account, limit] : m_limits)
    {
        limit.release();
    }
}

std::set<std::string> spending_limits::required() const
{
    std::set<std::string> all = m_recorded;
    all.insert(m_proposed.begin(), m_proposed.end());
    return all;
}

} // namespace turmeric::domain
