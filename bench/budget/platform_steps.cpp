#include "bench/budget/simulation.hpp"

#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/drivers/budget/store_committer.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::bench
{

using domain::tokens;

namespace
{

constexpr std::chrono::seconds commit_timeout(5);
constexpr std::chrono::milliseconds platform_time(5);

} // namespace

simulation::shard_place& simulation::place_for(std::int32_t shard,
                                               std::int32_t index)
{
    std::int32_t writer = index;
    const std::int32_t side = m_routers[static_cast<std::size_t>(index)].side;
    for (std::int32_t i = 0; m_options.is_forwarding && i < m_options.routers;
         ++i)
    {
        const std::int32_t other = (shard + i) % m_options.routers;
        const router& each = m_routers[static_cast<std::size_t>(other)];
        if (!each.is_paused && (!m_is_partitioned || each.side == side))
        {
            writer = other;
            break;
        }
    }
    shard_place& place = m_places[{shard, writer}];
    if (place.writer == nullptr)
    {
        domain::shard_writer_settings settings;
        settings.write_interval = m_options.is_forwarding
                                      ? m_options.commit_interval
                                      : std::chrono::milliseconds(0);
        settings.limits.incarnations = 4096;
        place.shard = shard;
        place.router = writer;
        place.writer =
            std::make_unique<domain::shard_writer>(settings, *m_policy);
    }
    return place;
}

void simulation::send_batches(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    for (const std::int32_t shard : each.ledger->due_shards(now()))
    {
        if (each.paces[shard] > m_clock.steady_now())
        {
            continue;
        }
        std::optional<domain::router_batch> batch =
            each.ledger->next_batch(shard, now());
        if (!batch.has_value())
        {
            continue;
        }
        shard_place& place = place_for(shard, index);
        origin from{index, each.name, batch->operation, batch->bills,
                    m_clock.steady_now()};
        const domain::submission_number number =
            place.writer->submit(std::move(*batch));
        place.origins.emplace(number, std::move(from));
    }
}

void simulation::withdraw_late(shard_place& place)
{
    for (auto entry = place.origins.begin(); entry != place.origins.end();)
    {
        const origin& from = entry->second;
        if (m_clock.steady_now() - from.sent_at < commit_timeout)
        {
            ++entry;
            continue;
        }
        place.writer->withdraw(entry->first);
        router& owner = m_routers[static_cast<std::size_t>(from.router)];
        if (owner.name == from.name)
        {
            owner.ledger->on_unresolved(place.shard);
        }
        entry = place.origins.erase(entry);
    }
}

void simulation::step_writers()
{
    // The bound on calls is shared fairly: each step starts behind the place
    // that the step before began with.
    auto place = m_places.upper_bound(m_first_place);
    for (std::size_t i = 0; i < m_places.size(); ++i, ++place)
    {
        place = place == m_places.end() ? m_places.begin() : place;
        m_first_place = i == 0 ? place->first : m_first_place;
        step_writer(place->second);
    }
}

void simulation::step_writer(shard_place& place)
{
    if (m_routers[static_cast<std::size_t>(place.router)].is_paused)
    {
        return;
    }
    if (place.under_way.has_value())
    {
        if (place.under_way->ends <= m_clock.steady_now())
        {
            end_call(place);
        }
        return;
    }
    withdraw_late(place);
    const std::optional<ports::steady_time> due = place.writer->due_at();
    if (due.has_value() && *due <= m_clock.steady_now() &&
        m_limiter.try_take(m_clock.steady_now()))
    {
        start_call(place);
    }
}

void simulation::start_call(shard_place& place)
{
    const domain::shard_call asked =
        place.writer->start(m_clock.steady_now(), m_clock.system_now());
    const std::string key = drivers::store_committer::key_of(place.shard);
    call made;
    made.ends = m_clock.steady_now() + platform_time;
    made.kind = asked.kind;
    std::int64_t& count = asked.kind == domain::shard_call_kind::read
                              ? m_measure.platform_reads
                              : m_measure.platform_writes;
    ++count;
    if (is_cut(place.router))
    {
        made.failure = result_code::platform_unavailable;
    }
    else if (asked.kind == domain::shard_call_kind::read)
    {
        made.found = m_store.get(key).value();
    }
    else
    {
        std::uniform_real_distribution<double> part(0.0, 1.0);
        const bool is_lost = part(m_random) < m_lost_part;
        const bool has_effect = !is_lost || part(m_random) < 0.5;
        if (has_effect)
        {
            made.written = m_store.compare_and_swap(
                key, codecs::encode_shard(*asked.value), asked.expected, 0);
            if (made.written)
            {
                note_charges(place);
            }
            else
            {
                made.failure = made.written.failure().code;
            }
        }
        if (is_lost)
        {
            made.failure = result_code::platform_outcome_unknown;
        }
    }
    place.under_way = std::move(made);
}

void simulation::note_charges(const shard_place& place)
{
    for (const domain::submission_reply& reply :
         place.writer->proposed_replies())
    {
        const origin& from = place.origins.at(reply.number);
        std::int64_t& applied =
            m_applied[from.name + "#" + std::to_string(place.shard)];
        if (reply.reply.state != domain::batch_state::applied ||
            from.operation <= applied)
        {
            continue;
        }
        applied = from.operation;
        for (const domain::bill_outcome& bill : reply.reply.bills)
        {
            m_charged[bill.key] +=
                bill.state == domain::bill_state::billed ? 1 : 0;
        }
    }
}

void simulation::end_call(shard_place& place)
{
    const call done = std::move(*place.under_way);
    place.under_way.reset();
    if (done.failure.has_value())
    {
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        place.writer->on_failed(*done.failure, m_clock.steady_now(),
                                jitter(m_random));
        return;
    }
    if (done.kind == domain::shard_call_kind::write)
    {
        answer(place, place.writer->on_written(done.written.value()));
        return;
    }
    if (!done.found.has_value())
    {
        place.writer->on_read(std::nullopt, 0);
        return;
    }
    result<domain::budget_shard> decoded =
        codecs::decode_shard(done.found->value);
    place.writer->on_read(std::move(decoded.value()),
                          done.found->modification_revision);
}

void simulation::answer(shard_place& place,
                        const std::vector<domain::submission_reply>& replies)
{
    for (const domain::submission_reply& reply : replies)
    {
        auto entry = place.origins.find(reply.number);
        const origin from = std::move(entry->second);
        place.origins.erase(entry);
        router& owner = m_routers[static_cast<std::size_t>(from.router)];
        if (owner.name != from.name)
        {
            continue;
        }
        take_receipts(from.router,
                      owner.ledger->on_reply(place.shard, reply.reply));
        // The next batch leaves shortly before the committer's next write,
        // with all that came until then.
        constexpr int pace_percent = 80;
        owner.paces[place.shard] =
            m_clock.steady_now() +
            (m_options.is_forwarding
                 ? m_options.commit_interval * pace_percent / 100
                 : m_options.commit_interval);
    }
}

} // namespace turmeric::bench
