#include "libraries/domain/placement/upstream_board.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// What one running request costs a new one, in prompt tokens.
constexpr double tokens_per_running = 100.0;
/// What another data centre costs, in prompt tokens.
constexpr double tokens_per_crossing = 1'500.0;
/// What reading a shared part once more costs beyond the time that it takes.
constexpr double reread_weight = 6.0;
/// What a plain request costs, in the same unit.
constexpr double plain_tokens = 1'000.0;
/// A share of failures up to this says nothing about the upstream.
constexpr double usual_failure_share = 0.25;
constexpr double failure_weight = 20.0;
constexpr double smoothing = 0.1;
constexpr std::int32_t failures_to_eject = 3;
constexpr std::chrono::milliseconds first_ejection{1'000};
constexpr std::int32_t most_ejection_doublings = 2;
/// The part of a batch that routers fill; more would wait there unordered.
constexpr double batch_share = 1.0;
/// One observation against its expectation counts at most so much.
constexpr double least_ratio = 0.5;
constexpr double most_ratio = 8.0;

} // namespace

upstream_board::upstream_board(std::string data_centre)
    : m_data_centre(std::move(data_centre))
{
}

std::vector<upstream_entry>
upstream_board::set_upstreams(const std::vector<upstream_entry>& entries)
{
    std::map<std::string, upstream_record> next;
    for (const upstream_entry& entry : entries)
    {
        const auto known = m_upstreams.find(entry.id);
        upstream_record record;
        // A restart under the same id has nothing of before.
        if (known != m_upstreams.end() &&
            known->second.entry.born == entry.born)
        {
            record = known->second;
        }
        record.entry = entry;
        next.emplace(entry.id, std::move(record));
    }
    std::vector<upstream_entry> gone;
    for (const auto& [id, record] : m_upstreams)
    {
        const auto stays = next.find(id);
        const bool was_ready = record.entry.state == upstream_state::serving;
        if (stays == next.end() ||
            (was_ready && stays->second.entry.state != upstream_state::serving))
        {
            gone.push_back(record.entry);
        }
    }
    m_upstreams = std::move(next);
    return gone;
}

void upstream_board::set_peer_load(std::map<std::string, upstream_load> load,
                                   std::int64_t routers)
{
    m_routers = std::max<std::int64_t>(1, routers);
    for (auto& [id, record] : m_upstreams)
    {
        const auto found = load.find(id);
        record.of_peers = found == load.end() ? upstream_load{} : found->second;
    }
}

std::uint64_t upstream_board::home_of(const std::string& service,
                                      const prompt_description& prompt) const
{
    if (prompt.parts.size() < 2)
    {
        return 0;
    }
    // The last part is the request's own; the one before it is the longest
    // beginning that others share.
    const std::uint64_t shared = prompt.parts[prompt.parts.size() - 2].id;
    const std::string text = std::to_string(shared);
    const std::uint64_t key = digest_of(text);
    std::uint64_t best_rank = 0;
    std::uint64_t best = 0;
    for (const auto& [id, record] : m_upstreams)
    {
        if (record.entry.service != service ||
            record.entry.state != upstream_state::serving)
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

std::int64_t upstream_board::tokens_to_read(const upstream_record& record,
                                            const prompt_description& prompt,
                                            std::uint64_t home,
                                            ports::steady_time now) const
{
    std::int64_t known = record.prefixes.known_tokens(prompt.parts, now);
    if (home != 0 && digest_of(record.entry.id) == home)
    {
        // Every router sends the prompts that share these parts here.
        std::int64_t shared = 0;
        for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part)
        {
            shared += prompt.parts[part].tokens;
        }
        known = std::max(known, shared);
    }
    return std::max<std::int64_t>(1, prompt.input_tokens - known);
}

bool upstream_board::has_room(const upstream_record& record,
                              const upstream_service& service) const
{
    const std::int64_t placed = record.own.requests + record.of_peers.requests;
    if (static_cast<double>(placed) >= batch_share * record.entry.slots)
    {
        return false;
    }
    // Connections of all routers together stay within the upstream's bound.
    const std::int64_t own_connections =
        std::max<std::int64_t>(1, service.max_connections / (2 * m_routers));
    return record.own.requests < own_connections;
}

double upstream_board::work_of(const upstream_record& record,
                               const upstream_service& service,
                               std::int64_t tokens)
{
    const double placed =
        static_cast<double>(record.own.requests + record.of_peers.requests);
    if (!service.engine)
    {
        return plain_tokens * (placed + 1) /
               static_cast<double>(std::max(1, record.entry.slots));
    }
    const std::int64_t unread =
        record.own.unread_tokens + record.of_peers.unread_tokens;
    return static_cast<double>(unread + tokens) + tokens_per_running * placed;
}

double upstream_board::cost_of(const upstream_record& record,
                               const upstream_service& service, double work,
                               std::int64_t shared_tokens) const
{
    const double excess =
        std::max(0.0, record.failure_share - usual_failure_share);
    double cost = work * record.slowness * (1.0 + failure_weight * excess) +
                  reread_weight * static_cast<double>(shared_tokens);
    if (service.engine && record.entry.data_centre != m_data_centre)
    {
        cost += tokens_per_crossing;
    }
    return cost;
}

std::optional<placement> upstream_board::find_cheapest(
    const placement_request& request, const upstream_service& service,
    ports::steady_time now, bool is_with_ejected) const
{
    const std::uint64_t home = request.prompt == nullptr
                                   ? 0
                                   : home_of(request.service, *request.prompt);
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
        if (record.entry.service != request.service ||
            record.entry.state != upstream_state::serving ||
            request.tried.count(id) != 0 || is_ejected != is_with_ejected ||
            !has_room(record, service))
        {
            continue;
        }
        const std::int64_t tokens =
            request.prompt == nullptr
                ? 1
                : tokens_to_read(record, *request.prompt, home, now);
        const double work = work_of(record, service, tokens);
        const double cost =
            cost_of(record, service, work,
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
        chosen.expected = std::chrono::duration_cast<std::chrono::milliseconds>(
            model->second.predict(chosen.work) * best->slowness);
    }
    return chosen;
}

placement_choice upstream_board::choose(const placement_request& request,
                                        const upstream_service& service,
                                        ports::steady_time now) const
{
    // An upstream that lately failed is better than none.
    for (const bool is_with_ejected : {false, true})
    {
        const std::optional<placement> chosen =
            find_cheapest(request, service, now, is_with_ejected);
        if (chosen)
        {
            return *chosen;
        }
    }
    placement_refusal refusal = placement_refusal::none_known;
    for (const auto& [id, record] : m_upstreams)
    {
        if (record.entry.service != request.service ||
            record.entry.state != upstream_state::serving)
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

void upstream_board::note_sent(const placement& chosen,
                               const prompt_description* prompt,
                               ports::steady_time now)
{
    const auto found = m_upstreams.find(chosen.upstream.id);
    if (found == m_upstreams.end())
    {
        return;
    }
    ++found->second.own.requests;
    found->second.own.unread_tokens += chosen.tokens_to_read;
    if (prompt != nullptr)
    {
        found->second.prefixes.note(prompt->parts, now);
    }
}

void upstream_board::note_started(const placement& chosen,
                                  std::chrono::milliseconds took)
{
    const auto found = m_upstreams.find(chosen.upstream.id);
    if (found == m_upstreams.end())
    {
        return;
    }
    upstream_record& record = found->second;
    record.own.unread_tokens = std::max<std::int64_t>(
        0, record.own.unread_tokens - chosen.tokens_to_read);
    first_token_model& model = m_models[record.entry.service];
    if (model.is_ready())
    {
        const double expected = std::max<double>(
            1.0, static_cast<double>(model.predict(chosen.work).count()));
        const double ratio =
            std::clamp(static_cast<double>(took.count()) / expected,
                       least_ratio, most_ratio);
        record.slowness += smoothing * (ratio - record.slowness);
    }
    model.learn(chosen.work, took);
}

void upstream_board::note_ended(const placement& chosen, bool was_started)
{
    const auto found = m_upstreams.find(chosen.upstream.id);
    if (found == m_upstreams.end())
    {
        return;
    }
    upstream_record& record = found->second;
    record.own.requests = std::max<std::int64_t>(0, record.own.requests - 1);
    if (!was_started)
    {
        record.own.unread_tokens = std::max<std::int64_t>(
            0, record.own.unread_tokens - chosen.tokens_to_read);
    }
}

bool upstream_board::note_outcome(const std::string& id, bool is_good,
                                  ports::steady_time now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
    {
        return false;
    }
    upstream_record& record = found->second;
    record.failure_share +=
        smoothing * ((is_good ? 0.0 : 1.0) - record.failure_share);
    if (is_good)
    {
        record.failures_in_row = 0;
        record.ejected_until.reset();
        return false;
    }
    ++record.failures_in_row;
    if (record.failures_in_row < failures_to_eject)
    {
        return false;
    }
    const std::int32_t doublings = std::min(
        most_ejection_doublings, record.failures_in_row - failures_to_eject);
    record.ejected_until = now + first_ejection * (1 << doublings);
    return true;
}

std::map<std::string, upstream_load> upstream_board::own_load() const
{
    std::map<std::string, upstream_load> load;
    for (const auto& [id, record] : m_upstreams)
    {
        if (record.own.requests > 0)
        {
            load[id] = record.own;
        }
    }
    return load;
}

bool upstream_board::is_ready(const std::string& id) const
{
    const auto found = m_upstreams.find(id);
    return found != m_upstreams.end() &&
           found->second.entry.state == upstream_state::serving;
}

} // namespace turmeric::domain
