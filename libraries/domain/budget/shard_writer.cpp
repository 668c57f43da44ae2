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

ticket shard_writer::submit(router_batch batch)
{
    const ticket made = m_next_ticket++;
    m_queue.push_back({made, std::move(batch)});
    return made;
}

void shard_writer::withdraw(ticket number)
{
    std::erase_if(m_queue, [number](const queued_batch& candidate)
                  { return candidate.number == number; });
}

std::optional<ports::steady_time> shard_writer::due_at() const
{
    if (m_queue.empty() || m_is_busy)
    {
        return std::nullopt;
    }
    return m_not_before;
}

shard_call shard_writer::start(ports::steady_time now, ports::system_time date)
{
    assert(!m_is_busy && !m_queue.empty());
    m_is_busy = true;
    if (!m_known.has_value())
    {
        return {shard_call_kind::read, nullptr, 0};
    }
    propose(date);
    m_not_before = now + m_settings.write_interval;
    return {shard_call_kind::write, &m_proposed, m_revision};
}

void shard_writer::propose(ports::system_time date)
{
    const sys_seconds now =
        std::chrono::time_point_cast<std::chrono::seconds>(date);
    m_proposed = *m_known;
    m_replies.clear();
    for (const queued_batch& queued : m_queue)
    {
        m_replies.push_back(
            {queued.number, apply_commit(m_proposed, queued.batch, now,
                                         m_settings.limits, m_policy)});
    }
}

void shard_writer::on_read(std::optional<budget_shard> found,
                           ports::revision modified)
{
    m_is_busy = false;
    m_known = found.has_value() ? std::move(*found) : budget_shard{};
    m_revision = modified;
}

std::vector<ticket_reply> shard_writer::on_written(ports::revision modified)
{
    m_is_busy = false;
    m_failures = 0;
    m_revision = modified;
    m_known = std::move(m_proposed);
    m_proposed = {};
    for (const ticket_reply& reply : m_replies)
    {
        withdraw(reply.number);
    }
    return std::exchange(m_replies, {});
}

void shard_writer::on_failed(result_code code, ports::steady_time now,
                             double jitter)
{
    m_is_busy = false;
    m_known.reset();
    m_replies.clear();
    ++m_failures;
    if (code == result_code::platform_conflict && m_failures == 1)
    {
        // Another writer won; the value is read again at once.
        m_not_before = now;
        return;
    }
    m_not_before =
        now + backoff_after(m_failures, jitter, m_settings.min_backoff,
                            m_settings.max_backoff);
}

const std::vector<ticket_reply>& shard_writer::proposed() const
{
    return m_replies;
}

std::size_t shard_writer::queued() const
{
    return m_queue.size();
}

} // namespace turmeric::domain
