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
    , m_history(options.report_lag)
    , m_watcher([this](std::uint64_t id) { on_close(id); })
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

answer_end engine::serve(answer_stream& answer, const request_faults& faults,
                         const job& wanted)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const ports::steady_time begin = m_clock.steady_now();
    const job_id id = ++m_last_id;
    entry held{answer, faults, std::nullopt, {}};
    job whole = wanted;
    // An answer without tokens still takes one step for its end.
    whole.tokens = std::max<std::int64_t>(answer.left(), 1);
    if (!m_batch.submit(id, whole, begin))
    {
        count(answer_end::refused);
        return answer_end::refused;
    }
    m_entries[id] = &held;
    record_load(begin);
    m_watcher.add(answer.socket(), id);
    m_changed.notify_all();
    held.done.wait(lock, [this, &held]
                   { return held.end.has_value() || m_is_stopped; });
    m_watcher.remove(answer.socket());
    m_entries.erase(id);
    m_unflushed.erase(id);
    const ports::steady_time now = m_clock.steady_now();
    m_batch.remove(id, now);
    record_load(now);
    const answer_end end = held.end.value_or(answer_end::cut);
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
    m_changed.notify_all();
}

void engine::wait_while_frozen()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_is_frozen || m_is_stopped; });
}

load_report engine::report()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_history.at(m_clock.steady_now());
}

json engine::counts()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return {{"finished", m_counters.finished},
            {"cancelled", m_counters.cancelled},
            {"cut", m_counters.cut},
            {"refused_while_recovering", m_counters.refused},
            {"tokens_out", m_counters.tokens_out},
            {"most_held", m_counters.most_held},
            {"running", m_batch.running()},
            {"waiting", m_batch.waiting()},
            {"cache_queried_tokens", m_queried_tokens},
            {"cache_hit_tokens", m_hit_tokens}};
}

void engine::stop()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_is_stopped = true;
    m_changed.notify_all();
    for (const auto& [id, held] : m_entries)
    {
        held->done.notify_all();
    }
}

void engine::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ports::steady_time next = m_clock.steady_now();
    while (!m_is_stopped)
    {
        if (m_is_frozen || is_idle())
        {
            m_changed.wait(lock);
            next = m_clock.steady_now();
            continue;
        }
        // A late step does not make the later ones late.
        next = std::max(next + m_batch.step_time(), m_clock.steady_now());
        m_changed.wait_until(lock, next, [this] { return m_is_stopped; });
        if (!m_is_stopped && !m_is_frozen)
        {
            step(m_clock.steady_now());
        }
    }
}

void engine::step(ports::steady_time now)
{
    flush_rest(now);
    const step_outcome outcome = m_batch.step(now);
    for (const job_id id : outcome.produced)
    {
        make_token(id, now);
    }
    for (const job_id id : outcome.lost)
    {
        const auto found = m_entries.find(id);
        if (found != m_entries.end())
        {
            finish(id, *found->second, answer_end::cut, now);
        }
    }
    record_load(now);
}

void engine::make_token(job_id id, ports::steady_time now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
    {
        return;
    }
    entry& held = *found->second;
    const std::int64_t made = held.answer.made();
    if (held.faults.cut_after_tokens && made >= *held.faults.cut_after_tokens)
    {
        finish(id, held, answer_end::cut, now);
        return;
    }
    if (held.faults.silent_after_tokens &&
        made >= *held.faults.silent_after_tokens)
    {
        m_batch.stall(id);
        return;
    }
    if (held.answer.left() == 0)
    {
        held.answer.make_end();
    }
    else
    {
        held.answer.make_token();
        ++m_counters.tokens_out;
    }
    flush(id, held, now);
}

void engine::flush(job_id id, entry& held, ports::steady_time now)
{
    if (!held.answer.flush())
    {
        finish(id, held, answer_end::cancelled, now);
        return;
    }
    if (!held.answer.is_flushed())
    {
        m_unflushed.insert(id);
        return;
    }
    m_unflushed.erase(id);
    if (held.answer.left() == 0)
    {
        finish(id, held, answer_end::whole, now);
    }
}

void engine::flush_rest(ports::steady_time now)
{
    const std::vector<job_id> waiting(m_unflushed.begin(), m_unflushed.end());
    for (const job_id id : waiting)
    {
        flush(id, *m_entries.at(id), now);
    }
}

void engine::finish(job_id id, entry& held, answer_end end,
                    ports::steady_time now)
{
    if (held.end.has_value())
    {
        return;
    }
    held.end = end;
    m_unflushed.erase(id);
    m_batch.remove(id, now);
    held.done.notify_all();
}

void engine::count(answer_end end)
{
    static constexpr std::array<std::int64_t counters::*, 4> table = {
        &counters::finished, &counters::cancelled, &counters::cut,
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
    m_history.record(report, now);
    m_counters.most_held =
        std::max(m_counters.most_held, report.running + report.waiting);
}

bool engine::is_idle() const
{
    return m_batch.running() == 0 && m_unflushed.empty();
}

void engine::on_close(job_id id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
    {
        finish(id, *found->second, answer_end::cancelled, m_clock.steady_now());
    }
}

} // namespace turmeric::standins
