#include "libraries/domain/placement/upstream_load_balancer.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// Cost of each request that the upstream already runs, in prompt tokens.
constexpr double tokens_per_running_request = 100.0;
/// Cost of sending a request to another data centre, in prompt tokens.
constexpr double tokens_per_data_centre_change = 1'500.0;
/// Cost of each shared prompt token that the upstream must read again, in
/// addition to the time that reading takes.
constexpr double cost_per_reread_token = 6.0;
/// Work of a request of a plain service, in prompt tokens.
constexpr double tokens_per_plain_request = 1'000.0;
/// A failure rate up to this value does not raise the cost of an upstream.
constexpr double tolerated_failure_rate = 0.25;
/// Relative rise of the cost for each unit of failure rate above that.
constexpr double failure_weight = 20.0;
/// Fraction of an upstream's slots that routers fill. Further requests would
/// wait at the upstream, which does not order them.
constexpr double usable_slot_fraction = 1.0;
/// Fraction of a brittle upstream's slots up to which routers exceed their
/// shares.
constexpr double shared_slot_fraction = 0.5;

} // namespace

upstream_load_balancer::upstream_load_balancer(std::string data_centre)
    : m_data_centre(std::move(data_centre))
{
}

std::vector<upstream_entry> upstream_load_balancer::set_upstreams(
    const std::vector<upstream_entry>& entries)
{
    std::map<std::string, upstream_record> next;
    for (const upstream_entry& entry : entries)
    {
        const auto found = m_upstreams.find(entry.id);
        upstream_record record;
        // A restart that has the same id starts with an empty record.
        if (found != m_upstreams.end() &&
            found->second.entry.born == entry.born)
        {
            record = found->second;
        }
        record.entry = entry;
        record.incarnation = incarnation_of(entry);
        next.emplace(entry.id, std::move(record));
    }
    std::vector<upstream_entry> removed;
    for (const auto& [id, record] : m_upstreams)
    {
        const auto remaining = next.find(id);
        const bool was_ready = record.entry.state == upstream_state::serving;
        if (remaining == next.end() ||
            (was_ready &&
             remaining->second.entry.state != upstream_state::serving))
        {
            removed.push_back(record.entry);
        }
    }
    m_upstreams = std::move(next);
    return removed;
}

void upstream_load_balancer::set_peer_load(
    std::map<std::string, upstream_load> load, std::int64_t routers)
{
    m_routers = std::max<std::int64_t>(1, routers);
    for (auto& [id, record] : m_upstreams)
    {
        const auto found = load.find(id);
        record.peer_load =
            found == load.end() ? upstream_load{} : found->second;
    }
}

std::uint64_t
upstream_load_balancer::find_preferred(const placement_request& request) const
{
    if (request.prompt == nullptr || request.prompt->parts.size() < 2)
    {
        return 0;
    }
    // The last part belongs to this request alone. The id of the part before
    // it stands for the longest prefix that other requests share.
    const std::vector<prompt_part>& parts = request.prompt->parts;
    const std::uint64_t shared = parts[parts.size() - 2].id;
    const std::string text = std::to_string(shared);
    const std::uint64_t key = digest_of(text);
    std::uint64_t best_rank = 0;
    std::uint64_t best = 0;
    for (const auto& [id, record] : m_upstreams)
    {
        if (!accepts_requests(record, request))
        {
            continue;
        }
        const std::uint64_t candidate = digest_of(id);
        const std::uint64_t rank = rank_of(key, candidate);
        if (rank >= best_rank)
        {
            best_rank = rank;
            best = candidate;
        }
    }
    return best;
}

std::int64_t upstream_load_balancer::tokens_to_read(
    const upstream_record& record, const prompt_description& prompt,
    std::uint64_t preferred, ports::steady_time now) const
{
    std::int64_t cached = record.prefixes.cached_tokens(prompt.parts, now);
    if (preferred != 0 && digest_of(record.entry.id) == preferred)
    {
        // Every router prefers this upstream for prompts with these shared
        // parts, so it has probably read them for another router.
        std::int64_t shared = 0;
        for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part)
        {
            shared += prompt.parts[part].tokens;
        }
        cached = std::max(cached, shared);
    }
    return std::max<std::int64_t>(1, prompt.input_tokens - cached);
}

bool upstream_load_balancer::accepts_requests(const upstream_record& record,
                                              const placement_request& request)
{
    const bool is_leaving = request.notices != nullptr &&
                            request.notices->is_leaving(record.incarnation);
    const version_choice& versions = request.versions;
    const bool is_version_allowed =
        (versions.only.empty() || record.entry.version == versions.only) &&
        (versions.excluded.empty() ||
         record.entry.version != versions.excluded);
    return record.entry.service == request.service &&
           record.entry.state == upstream_state::serving && !is_leaving &&
           is_version_allowed;
}

bool upstream_load_balancer::is_candidate(const upstream_record& record,
                                          const placement_request& request)
{
    return accepts_requests(record, request) &&
           request.tried.count(record.entry.id) == 0;
}

std::optional<ports::steady_time>
upstream_load_balancer::paused_until(const upstream_record& record,
                                     const placement_request& request,
                                     ports::steady_time now)
{
    const std::optional<ports::steady_time> pause_end =
        request.notices == nullptr
            ? std::nullopt
            : request.notices->paused_until(record.incarnation, now);
    const std::optional<ports::steady_time> opening =
        request.brittle == nullptr
            ? std::nullopt
            : request.brittle->closed_until(record.incarnation, now);
    return std::max(pause_end, opening);
}

bool upstream_load_balancer::is_within_share(const upstream_record& record,
                                             const placement_request& request,
                                             ports::steady_time now)
{
    const std::optional<std::int64_t> share =
        request.brittle == nullptr
            ? std::nullopt
            : request.brittle->own_share(record.incarnation);
    if (!share || record.own_load.requests < *share)
    {
        return true;
    }
    // The load of the peers is not up to date, and all routers see the same
    // free slots, so they use no more than some of them beyond their shares.
    const std::int64_t placed =
        record.own_load.requests + record.peer_load.requests;
    return !request.has_queue &&
           !request.brittle->is_restricted(record.incarnation, now) &&
           static_cast<double>(placed) <
               shared_slot_fraction * record.entry.slots;
}

bool upstream_load_balancer::is_within_rate(const upstream_record& record,
                                            const placement_request& request,
                                            ports::steady_time now)
{
    return (request.limits == nullptr ||
            request.limits->may_send(record.incarnation, now)) &&
           (request.cold == nullptr ||
            request.cold->may_send(record.incarnation, now));
}

bool upstream_load_balancer::has_capacity(const upstream_record& record,
                                          const placement_request& request,
                                          const upstream_service& service,
                                          ports::steady_time now) const
{
    if (!is_within_share(record, request, now))
    {
        return false;
    }
    const std::int64_t placed =
        record.own_load.requests + record.peer_load.requests;
    if (static_cast<double>(placed) >=
        usable_slot_fraction * record.entry.slots)
    {
        return false;
    }
    // Keeps the connections of all routers together within the upstream's
    // limit.
    const std::int64_t own_connections =
        std::max<std::int64_t>(1, service.max_connections / (2 * m_routers));
    return record.own_load.requests < own_connections;
}

double upstream_load_balancer::estimate_work(const upstream_record& record,
                                             const upstream_service& service,
                                             std::int64_t tokens)
{
    const double placed = static_cast<double>(record.own_load.requests +
                                              record.peer_load.requests);
    if (!service.engine)
    {
        return tokens_per_plain_request * (placed + 1) /
               static_cast<double>(std::max(1, record.entry.slots));
    }
    const std::int64_t unread =
        record.own_load.unread_tokens + record.peer_load.unread_tokens;
    return static_cast<double>(unread + tokens) +
           tokens_per_running_request * placed;
}

double upstream_load_balancer::estimate_cost(const upstream_record& record,
                                             const upstream_service& service,
                                             double work,
                                             std::int64_t shared_tokens) const
{
    const double excess =
        std::max(0.0, record.failure_rate - tolerated_failure_rate);
    double cost = work * record.slowness * (1.0 + failure_weight * excess) +
                  cost_per_reread_token * static_cast<double>(shared_tokens);
    if (service.engine && record.entry.data_centre != m_data_centre)
    {
        cost += tokens_per_data_centre_change;
    }
    return cost;
}

std::optional<placement> upstream_load_balancer::find_cheapest(
    const placement_request& request, const upstream_service& service,
    ports::steady_time now, bool is_among_ejected) const
{
    const std::uint64_t preferred = find_preferred(request);
    const std::int64_t own_tokens =
        request.prompt == nullptr || request.prompt->parts.empty()
            ? 1
            : request.prompt->parts.back().tokens;
    const upstream_record* best = nullptr;
    placement chosen;
    for (const auto& [id, record] : m_upstreams)
    {
        const bool is_ejected =
            record.ejected_until && now < *record.ejected_until;
        if (!is_candidate(record, request) || is_ejected != is_among_ejected ||
            !is_within_rate(record, request, now) ||
            paused_until(record, request, now) ||
            !has_capacity(record, request, service, now))
        {
            continue;
        }
        const std::int64_t tokens =
            request.prompt == nullptr
                ? 1
                : tokens_to_read(record, *request.prompt, preferred, now);
        const double work = estimate_work(record, service, tokens);
        const bool is_observation_due =
            request.limits != nullptr &&
            request.limits->is_observation_due(record.incarnation, now);
        const double cost =
            is_observation_due
                ? 0.0
                : estimate_cost(record, service, work,
                                std::max<std::int64_t>(0, tokens - own_tokens));
        if (best == nullptr || cost < chosen.cost)
        {
            best = &record;
            chosen.tokens_to_read = tokens;
            chosen.work = work;
            chosen.cost = cost;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    chosen.upstream = best->entry;
    const auto model = m_models.find(request.service);
    if (model != m_models.end() && model->second.is_ready())
    {
        chosen.usual = model->second.predict(chosen.work);
        chosen.expected = std::chrono::duration_cast<std::chrono::milliseconds>(
            chosen.usual * best->slowness);
    }
    return chosen;
}

placement_choice
upstream_load_balancer::choose(const placement_request& request,
                               const upstream_service& service,
                               ports::steady_time now) const
{
    // Ejected upstreams are used only if no other has capacity.
    for (const bool is_among_ejected : {false, true})
    {
        const std::optional<placement> chosen =
            find_cheapest(request, service, now, is_among_ejected);
        if (chosen)
        {
            return *chosen;
        }
    }
    placement_refusal refusal = placement_refusal::none_known;
    for (const auto& [id, record] : m_upstreams)
    {
        if (!accepts_requests(record, request))
        {
            continue;
        }
        if (request.tried.count(id) == 0)
        {
            return placement_refusal::none_free;
        }
        refusal = placement_refusal::none_left;
    }
    return refusal;
}

std::optional<ports::steady_time>
upstream_load_balancer::earliest_pause_end(const placement_request& request,
                                           ports::steady_time now) const
{
    std::optional<ports::steady_time> earliest;
    for (const auto& [id, record] : m_upstreams)
    {
        if (!is_candidate(record, request))
        {
            continue;
        }
        const std::optional<ports::steady_time> end =
            paused_until(record, request, now);
        if (!end)
        {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*end), *end);
    }
    return earliest;
}

std::optional<double>
upstream_load_balancer::limited_rate(const placement_request& request,
                                     ports::steady_time now) const
{
    double sum = 0;
    for (const auto& [id, record] : m_upstreams)
    {
        if (!is_candidate(record, request))
        {
            continue;
        }
        const std::optional<double> named =
            request.limits == nullptr
                ? std::nullopt
                : request.limits->own_rate(record.incarnation);
        const std::optional<double> cold_rate =
            request.cold == nullptr
                ? std::nullopt
                : request.cold->own_rate(record.incarnation, now);
        if (!named && !cold_rate)
        {
            return std::nullopt;
        }
        sum += named && cold_rate ? std::min(*named, *cold_rate)
                                  : *std::max(named, cold_rate);
    }
    return sum;
}

} // namespace turmeric::domain
