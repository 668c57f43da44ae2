#include "libraries/drivers/budget/budget_service.hpp"

#include "libraries/domain/budget/backoff.hpp"
#include "libraries/drivers/budget/random_fraction.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

using domain::batch_reply;
using domain::bill_receipt;
using domain::bill_state;

namespace
{

/// How long a commit thread waits when no shard is due. Refreshes become due
/// with time, without a notification.
constexpr std::chrono::milliseconds idle_wait{20};
/// How long a commit thread waits when a due shard is delayed by its schedule.
constexpr std::chrono::milliseconds delayed_shard_wait{2};

} // namespace

void budget_service::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_is_stopping)
    {
        const std::optional<std::int32_t> shard = next_due_shard();
        if (!shard.has_value())
        {
            m_work_available.wait_for(
                lock, m_has_delayed_shard ? delayed_shard_wait : idle_wait);
            continue;
        }
        commit_next_batch(*shard, lock);
    }
}

std::optional<std::int32_t> budget_service::next_due_shard()
{
    const domain::ledger_time time = now();
    std::optional<std::int32_t> oldest;
    m_has_delayed_shard = false;
    for (const std::int32_t shard : m_ledger.due_shards(time))
    {
        if (m_schedules[shard].next_commit_at > time.steady)
        {
            m_has_delayed_shard = true;
            continue;
        }
        if (!oldest.has_value() || m_schedules[shard].next_commit_at <
                                       m_schedules[*oldest].next_commit_at)
        {
            oldest = shard;
        }
    }
    return oldest;
}

void budget_service::commit_next_batch(std::int32_t shard,
                                       std::unique_lock<std::mutex>& lock)
{
    const domain::ledger_time time = now();
    const std::optional<domain::router_batch> batch =
        m_ledger.next_batch(shard, time);
    if (!batch.has_value())
    {
        return;
    }
    lock.unlock();
    result<batch_reply> reply = m_committer.commit(
        shard, *batch, time.steady + m_settings.commit_timeout);
    lock.lock();
    if (reply)
    {
        on_commit_reply(shard, reply.value());
    }
    else
    {
        on_commit_failure(shard, reply.failure());
    }
    m_changed.notify_all();
}

void budget_service::on_commit_reply(std::int32_t shard,
                                     const batch_reply& reply)
{
    commit_schedule& schedule = m_schedules[shard];
    if (reply.state == domain::batch_state::full)
    {
        ++schedule.failures;
        schedule.next_commit_at =
            m_ports.clock.steady_now() +
            domain::backoff_after(
                schedule.failures, random_fraction(m_ports.random),
                m_settings.min_backoff, m_settings.max_backoff);
    }
    else
    {
        schedule.failures = 0;
        // The interval starts at the reply, so that the next batch includes
        // everything up to shortly before the committer's next write.
        schedule.next_commit_at =
            m_ports.clock.steady_now() + m_settings.commit_interval;
    }
    for (const bill_receipt& receipt : m_ledger.on_reply(shard, reply))
    {
        m_counts.bills += receipt.state == bill_state::billed ? 1 : 0;
        m_counts.duplicate_bills += receipt.is_duplicate ? 1 : 0;
        m_counts.refused_bills += receipt.state == bill_state::refused ? 1 : 0;
        m_counts.billed_tokens +=
            receipt.state == bill_state::billed ? receipt.billed : 0;
        auto found = m_receipts.find(receipt.hold);
        if (found != m_receipts.end())
        {
            found->second = receipt;
        }
    }
    log_fencing_once();
}

void budget_service::on_commit_failure(std::int32_t shard, const error& failure)
{
    m_ledger.on_unresolved(shard);
    ++m_counts.failed_commits;
    commit_schedule& schedule = m_schedules[shard];
    ++schedule.failures;
    schedule.next_commit_at =
        m_ports.clock.steady_now() +
        domain::backoff_after(schedule.failures,
                              random_fraction(m_ports.random),
                              m_settings.min_backoff, m_settings.max_backoff);
    m_ports.log.write(log_level::warning, log_event::commit_failed,
                      {{"shard", static_cast<std::int64_t>(shard)},
                       {"code", std::string(name_of(failure.code))},
                       {"detail", failure.detail}});
}

void budget_service::log_fencing_once()
{
    if (m_is_fencing_logged || !m_ledger.is_fenced())
    {
        return;
    }
    m_is_fencing_logged = true;
    m_ports.log.write(log_level::error, log_event::incarnation_fenced,
                      {{"incarnation", m_incarnation}});
}

} // namespace turmeric::drivers
