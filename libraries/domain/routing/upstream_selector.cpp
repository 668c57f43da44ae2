#include "libraries/domain/routing/upstream_selector.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace turmeric::domain
{

upstream_selector::upstream_selector(const selector_limits& limits)
    : m_limits(limits)
{
}

upstream_selector::tracked_upstream&
upstream_selector::declare(const upstream_declaration& declaration)
{
    std::unique_ptr<tracked_upstream>& entry = m_entries[declaration.name];
    if (!entry)
    {
        entry = std::make_unique<tracked_upstream>(tracked_upstream{
            .declaration = declaration,
            .digest = digest_of(declaration.name),
            .health = upstream_health(m_limits.health),
            .report = {},
        });
    }
    if (entry->declaration.address != declaration.address)
    {
        entry->is_leaving = false;
        entry->health = upstream_health(m_limits.health);
    }
    entry->declaration = declaration;
    entry->is_declared = true;
    return *entry;
}

void upstream_selector::update(const capacity_plan& plan)
{
    m_epoch = plan.epoch;
    m_by_version.clear();
    for (auto& [name, entry] : m_entries)
    {
        entry->is_declared = false;
        entry->share = 0;
    }
    for (const upstream_share& share : plan.shares)
    {
        tracked_upstream& entry = declare(share.upstream);
        entry.share = share.slots;
        if (share.slots == 0)
        {
            continue;
        }
        for (const std::string& version : share.upstream.versions)
        {
            m_by_version[version].push_back(&entry);
        }
    }
    std::erase_if(
        m_entries, [](const auto& item)
        { return !item.second->is_declared && item.second->held == 0; });
}

void upstream_selector::update_load(const load_report& report)
{
    auto found = m_entries.find(report.upstream);
    if (found != m_entries.end())
    {
        found->second->report = report;
    }
}

void upstream_selector::mark_leaving(const std::string& upstream)
{
    auto found = m_entries.find(upstream);
    if (found != m_entries.end())
    {
        found->second->is_leaving = true;
    }
}

bool upstream_selector::accepts_requests(const tracked_upstream& entry,
                                         ports::steady_time now) const
{
    if (entry.is_leaving || !entry.is_declared ||
        entry.declaration.state == upstream_state::leaving)
    {
        return false;
    }
    return entry.held < entry.health.allowed(entry.share, now);
}

bool upstream_selector::has_backlog(const tracked_upstream& entry,
                                    ports::steady_time now) const
{
    bool is_outdated = now - entry.report.taken_at > m_limits.report_lifetime;
    return !is_outdated && entry.report.waiting > m_limits.waiting_limit;
}

upstream_selector::candidate
upstream_selector::evaluate(tracked_upstream& entry,
                            const choice_request& request,
                            ports::steady_time now)
{
    candidate evaluated{&entry};
    evaluated.is_in_data_centre =
        entry.declaration.data_centre == request.data_centre;
    evaluated.has_backlog = has_backlog(entry, now);
    evaluated.rank =
        rank_of(request.prefix.value_or(m_choice_count), entry.digest);
    return evaluated;
}

bool upstream_selector::is_better(const candidate& left, const candidate& right,
                                  bool has_prefix)
{
    if (left.has_backlog != right.has_backlog)
    {
        return right.has_backlog;
    }
    if (!has_prefix)
    {
        std::int64_t left_use = left.entry->held * right.entry->share;
        std::int64_t right_use = right.entry->held * left.entry->share;
        if (left_use != right_use)
        {
            return left_use < right_use;
        }
        if (left.is_in_data_centre != right.is_in_data_centre)
        {
            return left.is_in_data_centre;
        }
    }
    return left.rank > right.rank;
}

result<upstream_choice> upstream_selector::choose(const choice_request& request,
                                                  ports::steady_time now)
{
    ++m_choice_count;
    std::optional<candidate> best;
    bool has_share = false;
    auto serving = m_by_version.find(request.version);
    if (serving != m_by_version.end())
    {
        for (tracked_upstream* entry : serving->second)
        {
            bool is_excluded =
                std::find(request.excluded.begin(), request.excluded.end(),
                          entry->declaration.name) != request.excluded.end();
            has_share = has_share || !is_excluded;
            if (is_excluded || !accepts_requests(*entry, now))
            {
                continue;
            }
            candidate evaluated = evaluate(*entry, request, now);
            if (!best ||
                is_better(evaluated, *best, request.prefix.has_value()))
            {
                best = evaluated;
            }
        }
    }
    if (!best)
    {
        return error{has_share ? result_code::upstream_overloaded
                               : result_code::no_upstream,
                     request.version,
                     has_share ? "all slots of this router's share are in use"
                               : "no upstream that serves the version has a "
                                 "share for this router"};
    }
    ++best->entry->held;
    return upstream_choice{best->entry->declaration.name,
                           best->entry->declaration.address};
}

void upstream_selector::finish(const upstream_choice& choice,
                               call_result outcome, ports::steady_time now)
{
    auto found = m_entries.find(choice.upstream);
    assert(found != m_entries.end());
    tracked_upstream& entry = *found->second;
    assert(entry.held > 0);
    --entry.held;
    entry.health.record(outcome, now);
    if (!entry.is_declared && entry.held == 0)
    {
        m_entries.erase(found);
    }
}

epoch_number upstream_selector::acknowledge()
{
    bool exceeds_share =
        std::any_of(m_entries.begin(), m_entries.end(),
                    [](const auto& item)
                    { return item.second->held > item.second->share; });
    if (!exceeds_share)
    {
        m_acknowledged = m_epoch;
    }
    return m_acknowledged;
}

bool upstream_selector::is_served(const std::string& version) const
{
    return m_by_version.contains(version);
}

std::int64_t upstream_selector::share_of(const std::string& version) const
{
    std::int64_t share = 0;
    auto serving = m_by_version.find(version);
    if (serving != m_by_version.end())
    {
        for (const tracked_upstream* entry : serving->second)
        {
            share += entry->share;
        }
    }
    return share;
}

std::int64_t upstream_selector::total_share() const
{
    std::int64_t share = 0;
    for (const auto& [name, entry] : m_entries)
    {
        share += entry->share;
    }
    return share;
}

std::int64_t upstream_selector::held_at(const std::string& upstream) const
{
    auto found = m_entries.find(upstream);
    return found == m_entries.end() ? 0 : found->second->held;
}

} // namespace turmeric::domain
