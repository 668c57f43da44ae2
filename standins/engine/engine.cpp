#include "standins/engine/engine.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace turmeric::standins
{

engine::engine(const ports::clock& clock, const engine_options& options)
    : m_clock(clock)
    , m_batch(options.batch)
    , m_cache(options.cache_blocks)
    , m_reported_load(options.report_lag)
    , m_watcher([this](std::uint64_t id) { on_disconnect(id); })
    , m_thread([this] { run(); })
{
}

engine::~engine()
{
    stop();
    m_thread.join();
}

std::int64_t engine::look_up_prefix(std::string_view prompt)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t cached = m_cache.look_up(prompt);
    constexpr std::int64_t bytes_per_token = 4;
    m_queried_tokens +=
        static_cast<std::int64_t>(prompt.size()) / bytes_per_token;
    m_hit_tokens += cached;
    return cached;
}

response_end engine::serve(response_stream& response,
                           const request_faults& faults, const job& request_job)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const ports::steady_time started_at = m_clock.steady_now();
    const job_id id = ++m_last_id;
    active_response active{response, faults, std::nullopt, {}};
    job submitted_job = request_job;
    // A response without tokens still takes one step for its end.
    submitted_job.tokens =
        std::max<std::int64_t>(response.remaining_tokens(), 1);
    if (!m_batch.submit(id, submitted_job, started_at))
    {
        count(response_end::refused);
        return response_end::refused;
    }
    m_active_responses[id] = &active;
    record_load(started_at);
    m_watcher.add(response.socket(), id);
    m_state_changed.notify_all();
    active.done.wait(lock, [this, &active]
                     { return active.end.has_value() || m_is_stopping; });
    m_watcher.remove(response.socket());
    m_active_responses.erase(id);
    m_unflushed.erase(id);
    const ports::steady_time now = m_clock.steady_now();
    m_batch.remove(id, now);
    record_load(now);
    const response_end end = active.end.value_or(response_end::aborted);
    count(end);
    return end;
}

bool engine::is_recovering()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_batch.is_recovering(m_clock.steady_now());
}

void engine::set_frozen(bool is_frozen)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_is_frozen = is_frozen;
    }
    m_state_changed.notify_all();
}

void engine::wait_while_frozen()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_state_changed.wait(lock,
                         [this] { return !m_is_frozen || m_is_stopping; });
}

load_report engine::report()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_reported_load.at(m_clock.steady_now());
}

json engine::counts()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return {{"finished", m_counters.finished},
            {"cancelled", m_counters.cancelled},
            {"cut", m_counters.aborted},
            {"refused_while_recovering", m_counters.refused},
            {"tokens_out", m_counters.tokens_out},
            {"most_held", m_counters.max_requests},
            {"running", m_batch.running()},
            {"waiting", m_batch.waiting()},
            {"cache_queried_tokens", m_queried_tokens},
            {"cache_hit_tokens", m_hit_tokens}};
}

void engine::stop()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_is_stopping = true;
    m_state_changed.notify_all();
    for (const auto& [id, active] : m_active_responses)
    {
        active->done.notify_all();
    }
}

void engine::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ports::steady_time next = m_clock.steady_now();
    while (!m_is_stopping)
    {
        if (m_is_frozen || is_idle())
        {
            m_state_changed.wait(lock);
            next = m_clock.steady_now();
            continue;
        }
        // After a late step the engine keeps its step time and does not catch
        // up.
        next = std::max(next + m_batch.step_time(), m_clock.steady_now());
        m_state_changed.wait_until(lock, next,
                                   [this] { return m_is_stopping; });
        if (!m_is_stopping && !m_is_frozen)
        {
            step(m_clock.steady_now());
        }
    }
}

void engine::step(ports::steady_time now)
{
    flush_pending(now);
    const step_outcome outcome = m_batch.step(now);
    for (const job_id id : outcome.produced)
    {
        generate_token(id, now);
    }
    for (const job_id id : outcome.aborted)
    {
        const auto found = m_active_responses.find(id);
        if (found != m_active_responses.end())
        {
            finish(id, *found->second, response_end::aborted, now);
        }
    }
    record_load(now);
}

void engine::generate_token(job_id id, ports::steady_time now)
{
    const auto found = m_active_responses.find(id);
    if (found == m_active_responses.end())
    {
        return;
    }
    active_response& active = *found->second;
    const std::int64_t generated_tokens = active.response.generated_tokens();
    if (active.faults.cut_after_tokens &&
        generated_tokens >= *active.faults.cut_after_tokens)
    {
        finish(id, active, response_end::aborted, now);
        return;
    }
    if (active.faults.silent_after_tokens &&
        generated_tokens >= *active.faults.silent_after_tokens)
    {
        m_batch.stall(id);
        return;
    }
    if (active.response.remaining_tokens() == 0)
    {
        active.response.append_end();
    }
    else
    {
        active.response.generate_token();
        ++m_counters.tokens_out;
    }
    flush(id, active, now);
}

void engine::flush(job_id id, active_response& active, ports::steady_time now)
{
    if (!active.response.flush())
    {
        finish(id, active, response_end::cancelled, now);
        return;
    }
    if (!active.response.is_flushed())
    {
        m_unflushed.insert(id);
        return;
    }
    m_unflushed.erase(id);
    if (active.response.remaining_tokens() == 0)
    {
        finish(id, active, response_end::complete, now);
    }
}

void engine::flush_pending(ports::steady_time now)
{
    const std::vector<job_id> waiting(m_unflushed.begin(), m_unflushed.end());
    for (const job_id id : waiting)
    {
        flush(id, *m_active_responses.at(id), now);
    }
}

void engine::finish(job_id id, active_response& active, response_end end,
                    ports::steady_time now)
{
    if (active.end.has_value())
    {
        return;
    }
    active.end = end;
    m_unflushed.erase(id);
    m_batch.remove(id, now);
    active.done.notify_all();
}

void engine::count(response_end end)
{
    static constexpr std::array<std::int64_t counters::*, 4> table = {
        &counters::finished, &counters::cancelled, &counters::aborted,
        &counters::refused};
    ++(m_counters.*table.at(static_cast<std::size_t>(end)));
}

void engine::record_load(ports::steady_time now)
{
    load_report report;
    report.running = static_cast<std::int64_t>(m_batch.running());
    report.waiting = static_cast<std::int64_t>(m_batch.waiting());
    report.cache_queried_tokens = m_queried_tokens;
    report.cache_hit_tokens = m_hit_tokens;
    m_reported_load.record(report, now);
    m_counters.max_requests =
        std::max(m_counters.max_requests, report.running + report.waiting);
}

bool engine::is_idle() const
{
    return m_batch.running() == 0 && m_unflushed.empty();
}

void engine::on_disconnect(job_id id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_active_responses.find(id);
    if (found != m_active_responses.end())
    {
        finish(id, *found->second, response_end::cancelled,
               m_clock.steady_now());
    }
}

} // namespace turmeric::standins
