#include "standins/engine/batch.hpp"

#include <cmath>

namespace turmeric::standins
{

namespace
{

/// The engine crashes when the number of its requests divided by `collapse_at`
/// reaches this ratio.
constexpr double crash_ratio = 1.5;
/// Beyond `collapse_at` the step time grows with this power of the number of
/// requests divided by `collapse_at`.
constexpr double slowdown_exponent = 4.0;

} // namespace

batch::batch(batch_options options)
    : m_options(options)
{
}

bool batch::submit(job_id id, const job& request_job, ports::steady_time now)
{
    if (is_recovering(now))
    {
        return false;
    }
    const queue_key key(request_job.priority, m_next_arrival++);
    m_queue[key] = {id, request_job};
    m_queue_keys[id] = key;
    admit(now);
    return true;
}

bool batch::remove(job_id id, ports::steady_time now)
{
    const auto queued = m_queue_keys.find(id);
    if (queued != m_queue_keys.end())
    {
        m_queue.erase(queued->second);
        m_queue_keys.erase(queued);
        return true;
    }
    const bool was_running = m_running.erase(id) > 0;
    admit(now);
    return was_running;
}

void batch::stall(job_id id)
{
    const auto found = m_running.find(id);
    if (found != m_running.end())
    {
        found->second.is_stalled = true;
    }
}

step_outcome batch::step(ports::steady_time now)
{
    if (has_reached_crash_load())
    {
        return crash(now);
    }
    step_outcome outcome;
    for (auto entry = m_running.begin(); entry != m_running.end();)
    {
        running_job& current = entry->second;
        const auto next = std::next(entry);
        if (!current.is_stalled && current.prefilled_at <= now)
        {
            current.earned_tokens += 1.0 / current.request_job.slow_factor;
        }
        if (current.earned_tokens >= 1.0)
        {
            current.earned_tokens -= 1.0;
            --current.remaining_tokens;
            outcome.produced.push_back(entry->first);
        }
        if (current.remaining_tokens == 0)
        {
            m_running.erase(entry);
        }
        entry = next;
    }
    admit(now);
    return outcome;
}

bool batch::is_recovering(ports::steady_time now) const
{
    return now < m_recovery_ends_at;
}

std::chrono::microseconds batch::step_time() const
{
    const std::chrono::microseconds base_time =
        m_options.step +
        m_options.step_per_request * static_cast<std::int64_t>(running());
    const std::size_t request_count = running() + waiting();
    if (m_options.collapse_at == 0 || request_count <= m_options.collapse_at)
    {
        return base_time;
    }
    const double ratio = static_cast<double>(request_count) /
                         static_cast<double>(m_options.collapse_at);
    const double slowed_microseconds = static_cast<double>(base_time.count()) *
                                       std::pow(ratio, slowdown_exponent);
    return std::chrono::microseconds(
        static_cast<std::int64_t>(slowed_microseconds));
}

std::size_t batch::running() const
{
    return m_running.size();
}

std::size_t batch::waiting() const
{
    return m_queue.size();
}

void batch::admit(ports::steady_time now)
{
    while (!m_queue.empty() && m_running.size() < m_options.capacity)
    {
        const auto first = m_queue.begin();
        const auto [id, request_job] = first->second;
        m_queue.erase(first);
        m_queue_keys.erase(id);
        start(id, request_job, now);
    }
}

void batch::start(job_id id, const job& request_job, ports::steady_time now)
{
    const double prefill =
        static_cast<double>(m_options.prefill_per_token.count()) *
        static_cast<double>(request_job.prefill_tokens) *
        request_job.slow_factor;
    running_job current;
    current.request_job = request_job;
    current.remaining_tokens = request_job.tokens;
    current.prefilled_at =
        now + request_job.delay +
        std::chrono::microseconds(static_cast<std::int64_t>(prefill));
    m_running[id] = current;
}

bool batch::has_reached_crash_load() const
{
    const double request_count = static_cast<double>(running() + waiting());
    return m_options.collapse_at > 0 &&
           request_count >=
               crash_ratio * static_cast<double>(m_options.collapse_at);
}

step_outcome batch::crash(ports::steady_time now)
{
    step_outcome outcome;
    for (const auto& [id, current] : m_running)
    {
        outcome.aborted.push_back(id);
    }
    for (const auto& [id, key] : m_queue_keys)
    {
        outcome.aborted.push_back(id);
    }
    m_running.clear();
    m_queue.clear();
    m_queue_keys.clear();
    m_recovery_ends_at = now + m_options.recovery;
    return outcome;
}

} // namespace turmeric::standins
