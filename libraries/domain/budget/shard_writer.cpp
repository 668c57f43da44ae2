#include "libraries/domain/budget/shard_writer.hpp"

#include "libraries/domain/budget/backoff.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::domain
{

shard_writer::shard_writer(const shard_writer_settings& settings,
                           const grant_policy& policy)
    : m_settings(settings)
    , m_policy(policy)
{
}

submission_number shard_writer::submit(router_batch batch)
{
    const submission_number number = m_next_number++;
    m_queue.push_back({number, std::move(batch)});
    return number;
}

void shard_writer::withdraw(submission_number number)
{
    std::erase_if(m_queue, [number](const queued_batch& candidate)
                  { return candidate.number == number; });
}

std::optional<ports::steady_time> shard_writer::due_at() const
{
    if (m_queue.empty() || m_is_call_in_flight)
    {
        return std::nullopt;
    }
    return m_not_before;
}

shard_call shard_writer::start(ports::steady_time now, ports::system_time date)
{
    assert(!m_is_call_in_flight && !m_queue.empty());
    m_is_call_in_flight = true;
    if (!m_cached_shard.has_value())
    {
        return {shard_call_kind::read, nullptr, 0};
    }
    propose(date);
    m_not_before = now + m_settings.write_interval;
    return {shard_call_kind::write, &m_proposed_shard, m_revision};
}

void shard_writer::propose(ports::system_time date)
{
    const sys_seconds now =
        std::chrono::time_point_cast<std::chrono::seconds>(date);
    m_proposed_shard = *m_cached_shard;
    m_proposed_replies.clear();
    for (const queued_batch& queued : m_queue)
    {
        m_proposed_replies.push_back(
            {queued.number, apply_batch(m_proposed_shard, queued.batch, now,
                                        m_settings.limits, m_policy)});
    }
}

void shard_writer::on_read(std::optional<budget_shard> found,
                           ports::revision modification_revision)
{
    m_is_call_in_flight = false;
    m_cached_shard = found.has_value() ? std::move(*found) : budget_shard{};
    m_revision = modification_revision;
}

std::vector<submission_reply>
shard_writer::on_written(ports::revision modification_revision)
{
    m_is_call_in_flight = false;
    m_failures = 0;
    m_revision = modification_revision;
    m_cached_shard = std::move(m_proposed_shard);
    m_proposed_shard = {};
    for (const submission_reply& reply : m_proposed_replies)
    {
        withdraw(reply.number);
    }
    return std::exchange(m_proposed_replies, {});
}

void shard_writer::on_failed(result_code code, ports::steady_time now,
                             double jitter)
{
    m_is_call_in_flight = false;
    m_cached_shard.reset();
    m_proposed_replies.clear();
    ++m_failures;
    if (code == result_code::platform_conflict && m_failures == 1)
    {
        // Another writer changed the value first; it is read again without a
        // backoff.
        m_not_before = now;
        return;
    }
    m_not_before =
        now + backoff_after(m_failures, jitter, m_settings.min_backoff,
                            m_settings.max_backoff);
}

const std::vector<submission_reply>& shard_writer::proposed_replies() const
{
    return m_proposed_replies;
}

std::size_t shard_writer::queue_size() const
{
    return m_queue.size();
}

} // namespace turmeric::domain
