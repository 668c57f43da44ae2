#include "libraries/domain/placement/brittle_upstreams.hpp"

#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// No router sends to an upstream that has turned a request away for this time,
/// divided by the number that it can turn away in a second.
constexpr std::chrono::milliseconds first_silence{2'000};
/// For this time after that, each router sends only within its share.
constexpr std::chrono::milliseconds first_restriction{6'000};
/// It doubles with each further refusal that comes soon; the silence doubles
/// with those that come within the restriction.
constexpr std::int32_t max_doublings = 3;
/// A refusal this long after the end of the restriction is the first again.
constexpr std::chrono::milliseconds memory{10'000};
/// Refusals within this time are one: peers learn only about when it was.
constexpr std::chrono::milliseconds time_resolution{50};
/// Every response of a brittle upstream says so again.
constexpr std::chrono::seconds observation_expiry{15};
/// How long a refusal is reported to peers.
constexpr std::chrono::seconds report_time{5};
constexpr std::size_t max_reported = 64;

} // namespace

void brittle_upstreams::set_routers(const router_ranking& routers,
                                    ports::steady_time now)
{
    m_routers = routers;
    deal_slots();
    update_services(now);
}

void brittle_upstreams::set_upstreams(
    const std::vector<upstream_entry>& entries, ports::steady_time now)
{
    std::map<std::uint64_t, upstream_state> next;
    for (const upstream_entry& entry : entries)
    {
        const std::uint64_t incarnation = incarnation_of(entry);
        const auto found = m_upstreams.find(incarnation);
        upstream_state state =
            found == m_upstreams.end() ? upstream_state{} : found->second;
        state.seen.incarnation = incarnation;
        state.service = entry.service;
        state.slots = entry.slots;
        next.emplace(incarnation, std::move(state));
    }
    m_upstreams = std::move(next);
    deal_slots();
    update_services(now);
}

void brittle_upstreams::update_services(ports::steady_time now)
{
    m_max_rejections.clear();
    for (const auto& [incarnation, state] : m_upstreams)
    {
        const std::optional<std::int64_t>& one = state.seen.max_rejections;
        if (one && now - state.seen.observed_at <= observation_expiry)
        {
            const auto [entry, is_added] =
                m_max_rejections.try_emplace(state.service, *one);
            entry->second = std::min(entry->second, *one);
        }
    }
}

void brittle_upstreams::deal_slots()
{
    struct dealing
    {
        std::int64_t position = 0;
        std::int64_t dealt = 0;
    };
    const std::int64_t routers =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(m_routers.size()));
    std::map<std::string, dealing> services;
    for (auto& [incarnation, state] : m_upstreams)
    {
        const auto [entry, is_added] = services.try_emplace(state.service);
        dealing& dealt = entry->second;
        if (is_added)
        {
            dealt.position = static_cast<std::int64_t>(
                m_routers.position_for(digest_of(state.service)));
        }
        // The slots of all upstreams in turn; this router has each that is
        // congruent to its position.
        const auto count_below = [&](std::int64_t slot)
        { return (slot + routers - 1 - dealt.position) / routers; };
        state.share =
            count_below(dealt.dealt + state.slots) - count_below(dealt.dealt);
        dealt.dealt += state.slots;
    }
}

bool brittle_upstreams::record_response(
    std::uint64_t incarnation, std::optional<std::int64_t> max_rejections,
    ports::steady_time sent_at, ports::steady_time now)
{
    const auto found = m_upstreams.find(incarnation);
    if (found == m_upstreams.end())
    {
        return false;
    }
    upstream_state& state = found->second;
    const bool is_brittle = state.seen.max_rejections.has_value();
    if (!max_rejections && (!is_brittle || sent_at <= state.seen.observed_at))
    {
        return false;
    }
    const bool is_changed = state.seen.max_rejections != max_rejections;
    state.seen.max_rejections = max_rejections;
    state.seen.observed_at = now;
    state.is_own_observation = true;
    if (is_changed)
    {
        update_services(now);
    }
    return is_changed;
}

void brittle_upstreams::apply_rejection(upstream_state& state,
                                        ports::steady_time at, bool is_own)
{
    const std::optional<ports::steady_time> previous = state.seen.rejected_at;
    if (previous && at <= *previous + time_resolution)
    {
        return;
    }
    const std::int64_t max_rejections =
        max_rejections_of(state.service).value_or(1);
    if (previous)
    {
        const auto [silent_until, shared_until] =
            restriction_of(state, max_rejections);
        if (at >= shared_until)
        {
            state.rejections_within_shares = 0;
        }
        else if (at >= silent_until)
        {
            state.rejections_within_shares =
                std::min(max_doublings, state.rejections_within_shares + 1);
        }
        if (at > shared_until + memory)
        {
            state.repeated_rejections = 0;
        }
        else if (at >= silent_until)
        {
            state.repeated_rejections =
                std::min(max_doublings, state.repeated_rejections + 1);
        }
    }
    state.seen.rejected_at = at;
    state.is_own_rejection = is_own;
}

bool brittle_upstreams::record_rejection(std::uint64_t incarnation,
                                         ports::steady_time now)
{
    const auto found = m_upstreams.find(incarnation);
    if (found == m_upstreams.end() || !max_rejections_of(found->second.service))
    {
        return false;
    }
    apply_rejection(found->second, now, true);
    return true;
}

void brittle_upstreams::merge(const std::vector<brittle_observation>& observed,
                              ports::steady_time now)
{
    bool is_changed = false;
    for (const brittle_observation& one : observed)
    {
        const auto found = m_upstreams.find(one.incarnation);
        if (found == m_upstreams.end())
        {
            continue;
        }
        upstream_state& state = found->second;
        if (one.observed_at > state.seen.observed_at)
        {
            is_changed |= state.seen.max_rejections != one.max_rejections;
            state.seen.max_rejections = one.max_rejections;
            state.seen.observed_at = one.observed_at;
            state.is_own_observation = false;
        }
        if (one.rejected_at)
        {
            apply_rejection(state, *one.rejected_at, false);
        }
    }
    if (is_changed)
    {
        update_services(now);
    }
}

std::optional<std::int64_t>
brittle_upstreams::max_rejections_of(const std::string& service) const
{
    const auto found = m_max_rejections.find(service);
    return found == m_max_rejections.end() ? std::nullopt
                                           : std::optional(found->second);
}

std::pair<ports::steady_time, ports::steady_time>
brittle_upstreams::restriction_of(const upstream_state& state,
                                  std::int64_t max_rejections) const
{
    const ports::steady_time silent_until =
        *state.seen.rejected_at + first_silence *
                                      (1 << state.rejections_within_shares) /
                                      std::max<std::int64_t>(1, max_rejections);
    return {silent_until, silent_until + first_restriction *
                                             (1 << state.repeated_rejections)};
}

std::optional<ports::steady_time>
brittle_upstreams::closed_until(std::uint64_t incarnation,
                                ports::steady_time now) const
{
    if (m_max_rejections.empty())
    {
        return std::nullopt;
    }
    const auto found = m_upstreams.find(incarnation);
    if (found == m_upstreams.end() || !found->second.seen.rejected_at)
    {
        return std::nullopt;
    }
    const upstream_state& state = found->second;
    const std::optional<std::int64_t> max_rejections =
        max_rejections_of(state.service);
    if (!max_rejections)
    {
        return std::nullopt;
    }
    const auto [silent_until, shared_until] =
        restriction_of(state, *max_rejections);
    const ports::steady_time until =
        state.share == 0 ? shared_until : silent_until;
    return now < until ? std::optional(until) : std::nullopt;
}

std::optional<std::int64_t>
brittle_upstreams::own_share(std::uint64_t incarnation) const
{
    if (m_max_rejections.empty())
    {
        return std::nullopt;
    }
    const auto found = m_upstreams.find(incarnation);
    if (found == m_upstreams.end() || !max_rejections_of(found->second.service))
    {
        return std::nullopt;
    }
    return found->second.share;
}

bool brittle_upstreams::is_restricted(std::uint64_t incarnation,
                                      ports::steady_time now) const
{
    const auto found = m_upstreams.find(incarnation);
    if (found == m_upstreams.end() || !found->second.seen.rejected_at)
    {
        return false;
    }
    const std::optional<std::int64_t> max_rejections =
        max_rejections_of(found->second.service);
    return max_rejections &&
           now < restriction_of(found->second, *max_rejections).second;
}

std::optional<ports::steady_time>
brittle_upstreams::next_opening(ports::steady_time now) const
{
    std::optional<ports::steady_time> next;
    if (m_max_rejections.empty())
    {
        return next;
    }
    for (const auto& [incarnation, state] : m_upstreams)
    {
        const std::optional<ports::steady_time> one =
            closed_until(incarnation, now);
        if (one)
        {
            next = std::min(next.value_or(*one), *one);
        }
    }
    return next;
}

std::vector<brittle_observation>
brittle_upstreams::report(ports::steady_time now) const
{
    std::vector<brittle_observation> reported;
    // One upstream of a service tells that all of them are brittle.
    std::map<std::string, const upstream_state*> newest;
    for (const auto& [incarnation, state] : m_upstreams)
    {
        const upstream_state*& best = newest[state.service];
        if (state.is_own_observation &&
            now - state.seen.observed_at <= observation_expiry &&
            (best == nullptr ||
             state.seen.observed_at > best->seen.observed_at))
        {
            best = &state;
        }
        if (state.is_own_rejection && reported.size() < max_reported &&
            now - *state.seen.rejected_at <= report_time)
        {
            reported.push_back(state.seen);
        }
    }
    for (const auto& entry : newest)
    {
        const upstream_state* const state = entry.second;
        const bool is_reported =
            state != nullptr &&
            std::any_of(reported.begin(), reported.end(),
                        [state](const brittle_observation& one)
                        { return one.incarnation == state->seen.incarnation; });
        if (state != nullptr && !is_reported && reported.size() < max_reported)
        {
            reported.push_back(state->seen);
            reported.back().rejected_at.reset();
        }
    }
    return reported;
}

} // namespace turmeric::domain
