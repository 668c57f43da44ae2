#include "libraries/domain/placement/cold_upstreams.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// The part of an upstream's rate that routers use. A router whose share is one
/// request per second sends every 1.18 s, so a delay of up to 0.18 s does not
/// put two of its requests into one second.
constexpr double used_fraction = 0.85;

} // namespace

void cold_upstreams::set_routers(const router_ranking& registered)
{
    m_routers = registered;
    for (auto& [incarnation, state] : m_upstreams)
    {
        state.position = registered.position_for(incarnation);
    }
}

void cold_upstreams::set_services(const std::vector<upstream_service>& services)
{
    m_services.clear();
    for (const upstream_service& service : services)
    {
        if (service.cold_requests_per_second > 0)
        {
            m_services[service.name] = {service.cold_requests_per_second,
                                        service.cold_start_time};
        }
    }
}

ports::steady_time
cold_upstreams::first_cold_until(const upstream_entry& entry,
                                 const cold_terms& terms,
                                 ports::steady_time now) const
{
    if (entry.cold_left.count() > 0)
    {
        return now + entry.cold_left;
    }
    // Upstreams of the first list started before this router. One that appears
    // later and does not say that it is warm has just started.
    return m_has_entries && !entry.has_cold_time ? now + terms.start_time
                                                 : ports::steady_time{};
}

void cold_upstreams::set_upstreams(const std::vector<upstream_entry>& entries,
                                   ports::steady_time now)
{
    std::map<std::uint64_t, upstream_state> next;
    for (const upstream_entry& entry : entries)
    {
        const std::uint64_t incarnation = incarnation_of(entry);
        const auto known = m_upstreams.find(incarnation);
        upstream_state state;
        if (known != m_upstreams.end())
        {
            state = std::move(known->second);
            if (entry.has_cold_time && entry.cold_left != state.cold_left)
            {
                state.cold_until = now + entry.cold_left;
            }
        }
        else
        {
            const auto terms = m_services.find(entry.service);
            state.cold_until = first_cold_until(
                entry, terms == m_services.end() ? cold_terms{} : terms->second,
                now);
            state.position =
                m_routers ? m_routers->position_for(incarnation) : 0;
        }
        state.service = entry.service;
        state.cold_left =
            entry.has_cold_time ? entry.cold_left : state.cold_left;
        next.emplace(incarnation, std::move(state));
    }
    m_upstreams = std::move(next);
    m_has_entries = true;
}

double cold_upstreams::share_of(const upstream_state& state) const
{
    const double per_second = m_services.at(state.service).requests_per_second;
    if (!m_routers)
    {
        return 0;
    }
    const std::size_t senders = std::clamp<std::size_t>(
        static_cast<std::size_t>(per_second), 1, m_routers->size());
    return state.position < senders
               ? used_fraction * per_second / static_cast<double>(senders)
               : 0;
}

std::optional<double> cold_upstreams::own_rate(std::uint64_t incarnation,
                                               ports::steady_time now) const
{
    const auto found = m_upstreams.find(incarnation);
    if (found == m_upstreams.end() || now >= found->second.cold_until ||
        m_services.count(found->second.service) == 0)
    {
        return std::nullopt;
    }
    return share_of(found->second);
}

std::optional<ports::steady_time>
cold_upstreams::opens_at(const upstream_state& state) const
{
    const double share = share_of(state);
    if (share <= 0)
    {
        return std::nullopt;
    }
    if (!state.last_sent_at)
    {
        return ports::steady_time{};
    }
    return *state.last_sent_at +
           std::chrono::ceil<std::chrono::milliseconds>(
               std::chrono::duration<double>(1.0 / share));
}

bool cold_upstreams::may_send(std::uint64_t incarnation,
                              ports::steady_time now) const
{
    if (!own_rate(incarnation, now))
    {
        return true;
    }
    const std::optional<ports::steady_time> opening =
        opens_at(m_upstreams.at(incarnation));
    return opening && now >= *opening;
}

bool cold_upstreams::note_sent(std::uint64_t incarnation,
                               ports::steady_time now)
{
    const auto found = m_upstreams.find(incarnation);
    if (found != m_upstreams.end())
    {
        found->second.last_sent_at = now;
    }
    return own_rate(incarnation, now).has_value();
}

std::optional<ports::steady_time>
cold_upstreams::next_opening(ports::steady_time now) const
{
    std::optional<ports::steady_time> next;
    for (const auto& [incarnation, state] : m_upstreams)
    {
        if (may_send(incarnation, now))
        {
            continue;
        }
        const ports::steady_time opening = std::min(
            state.cold_until, opens_at(state).value_or(state.cold_until));
        next = std::min(next.value_or(opening), opening);
    }
    return next;
}

std::size_t cold_upstreams::count(ports::steady_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [&](const auto& entry)
                      { return own_rate(entry.first, now).has_value(); }));
}

} // namespace turmeric::domain
