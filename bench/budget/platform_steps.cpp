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
constexpr std::chrono::milliseconds platform_call_time(5);

} // namespace

simulation::shard_committer& simulation::committer_for(std::int32_t shard,
                                                       std::int32_t index)
{
    std::int32_t committing_router = index;
    const std::int32_t side = m_routers[static_cast<std::size_t>(index)].side;
    for (std::int32_t i = 0; m_options.is_forwarding && i < m_options.routers;
         ++i)
    {
        const std::int32_t other = (shard + i) % m_options.routers;
        const router& each = m_routers[static_cast<std::size_t>(other)];
        if (!each.is_paused && (!m_is_partitioned || each.side == side))
        {
            committing_router = other;
            break;
        }
    }
    shard_committer& committer = m_committers[{shard, committing_router}];
    if (committer.writer == nullptr)
    {
        domain::shard_writer_settings settings;
        settings.write_interval = m_options.is_forwarding
                                      ? m_options.commit_interval
                                      : std::chrono::milliseconds(0);
        settings.limits.incarnations = 4096;
        committer.shard = shard;
        committer.router = committing_router;
        committer.writer =
            std::make_unique<domain::shard_writer>(settings, *m_policy);
    }
    return committer;
}

void simulation::submit_batches(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    for (const std::int32_t shard : each.ledger->due_shards(now()))
    {
        if (each.next_batch_at[shard] > m_clock.steady_now())
        {
            continue;
        }
        std::optional<domain::router_batch> batch =
            each.ledger->next_batch(shard, now());
        if (!batch.has_value())
        {
            continue;
        }
        shard_committer& committer = committer_for(shard, index);
        submitted_batch from{index, each.name, batch->operation, batch->bills,
                             m_clock.steady_now()};
        const domain::submission_number number =
            committer.writer->submit(std::move(*batch));
        committer.submitted_batches.emplace(number, std::move(from));
    }
}

void simulation::withdraw_overdue(shard_committer& committer)
{
    for (auto entry = committer.submitted_batches.begin();
         entry != committer.submitted_batches.end();)
    {
        const submitted_batch& from = entry->second;
        if (m_clock.steady_now() - from.sent_at < commit_timeout)
        {
            ++entry;
            continue;
        }
        committer.writer->withdraw(entry->first);
        router& owner = m_routers[static_cast<std::size_t>(from.router)];
        if (owner.name == from.name)
        {
            owner.ledger->on_unresolved(committer.shard);
        }
        entry = committer.submitted_batches.erase(entry);
    }
}

void simulation::step_committers()
{
    // The call rate limit is shared fairly in round-robin order: each step
    // begins with the committer after the one that the previous step began
    // with.
    auto committer = m_committers.upper_bound(m_first_committer);
    for (std::size_t i = 0; i < m_committers.size(); ++i, ++committer)
    {
        committer =
            committer == m_committers.end() ? m_committers.begin() : committer;
        m_first_committer = i == 0 ? committer->first : m_first_committer;
        step_committer(committer->second);
    }
}

void simulation::step_committer(shard_committer& committer)
{
    if (m_routers[static_cast<std::size_t>(committer.router)].is_paused)
    {
        return;
    }
    if (committer.call_in_progress.has_value())
    {
        if (committer.call_in_progress->ends_at <= m_clock.steady_now())
        {
            end_call(committer);
        }
        return;
    }
    withdraw_overdue(committer);
    const std::optional<ports::steady_time> due = committer.writer->due_at();
    if (due.has_value() && *due <= m_clock.steady_now() &&
        m_limiter.try_take(m_clock.steady_now()))
    {
        start_call(committer);
    }
}

void simulation::start_call(shard_committer& committer)
{
    const domain::shard_call requested =
        committer.writer->start(m_clock.steady_now(), m_clock.system_now());
    const std::string key = drivers::store_committer::key_of(committer.shard);
    platform_call started_call;
    started_call.ends_at = m_clock.steady_now() + platform_call_time;
    started_call.kind = requested.kind;
    std::int64_t& count = requested.kind == domain::shard_call_kind::read
                              ? m_figures.platform_reads
                              : m_figures.platform_writes;
    ++count;
    if (is_cut_off(committer.router))
    {
        started_call.failure = result_code::platform_unavailable;
    }
    else if (requested.kind == domain::shard_call_kind::read)
    {
        started_call.found = m_store.get(key).value();
    }
    else
    {
        std::uniform_real_distribution<double> fraction(0.0, 1.0);
        const bool is_reply_lost = fraction(m_random) < m_lost_reply_fraction;
        const bool has_effect = !is_reply_lost || fraction(m_random) < 0.5;
        if (has_effect)
        {
            started_call.written = m_store.compare_and_swap(
                key, codecs::encode_shard(*requested.value), requested.expected,
                0);
            if (started_call.written)
            {
                record_charges(committer);
            }
            else
            {
                started_call.failure = started_call.written.failure().code;
            }
        }
        if (is_reply_lost)
        {
            started_call.failure = result_code::platform_outcome_unknown;
        }
    }
    committer.call_in_progress = std::move(started_call);
}

void simulation::record_charges(const shard_committer& committer)
{
    for (const domain::submission_reply& reply :
         committer.writer->proposed_replies())
    {
        const submitted_batch& from =
            committer.submitted_batches.at(reply.number);
        std::int64_t& applied =
            m_applied_operations[from.name + "#" +
                                 std::to_string(committer.shard)];
        if (reply.reply.state != domain::batch_state::applied ||
            from.operation <= applied)
        {
            continue;
        }
        applied = from.operation;
        for (const domain::bill_outcome& bill : reply.reply.bills)
        {
            m_charge_counts[bill.key] +=
                bill.state == domain::bill_state::billed ? 1 : 0;
        }
    }
}

void simulation::end_call(shard_committer& committer)
{
    const platform_call finished_call = std::move(*committer.call_in_progress);
    committer.call_in_progress.reset();
    if (finished_call.failure.has_value())
    {
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        committer.writer->on_failed(*finished_call.failure,
                                    m_clock.steady_now(), jitter(m_random));
        return;
    }
    if (finished_call.kind == domain::shard_call_kind::write)
    {
        deliver_replies(committer, committer.writer->on_written(
                                       finished_call.written.value()));
        return;
    }
    if (!finished_call.found.has_value())
    {
        committer.writer->on_read(std::nullopt, 0);
        return;
    }
    result<domain::budget_shard> decoded =
        codecs::decode_shard(finished_call.found->value);
    committer.writer->on_read(std::move(decoded.value()),
                              finished_call.found->modification_revision);
}

void simulation::deliver_replies(
    shard_committer& committer,
    const std::vector<domain::submission_reply>& replies)
{
    for (const domain::submission_reply& reply : replies)
    {
        auto entry = committer.submitted_batches.find(reply.number);
        const submitted_batch from = std::move(entry->second);
        committer.submitted_batches.erase(entry);
        router& owner = m_routers[static_cast<std::size_t>(from.router)];
        if (owner.name != from.name)
        {
            continue;
        }
        apply_receipts(from.router,
                       owner.ledger->on_reply(committer.shard, reply.reply));
        // The router submits its next batch shortly before the committer's
        // next write, so that the batch carries all updates up to then.
        constexpr int next_batch_percent = 80;
        owner.next_batch_at[committer.shard] =
            m_clock.steady_now() +
            (m_options.is_forwarding
                 ? m_options.commit_interval * next_batch_percent / 100
                 : m_options.commit_interval);
    }
}

} // namespace turmeric::bench
