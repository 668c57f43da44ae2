#include "standins/engine/batch.hpp"

#include <cmath>

namespace turmeric::standins
{

namespace
{

/// Held requests over `collapse_at` at which the engine falls over.
constexpr double fall_ratio = 1.5;
/// How steeply a step grows with the held requests past `collapse_at`.
constexpr double collapse_exponent = 4.0;

} // namespace

batch::batch(batch_options options)
    : m_options(options)
{
}

bool batch::submit(job_id id, const job& wanted, ports::steady_time now)
{
    if (is_recovering(now))
    {
        return false;
    }
    const queue_place place(wanted.priority, m_arrivals++);
    m_queue[place] = {id, wanted};
    m_places[id] = place;
    admit(now);
    return true;
}

bool batch::remove(job_id id, ports::steady_time now)
{
    const auto waiting = m_places.find(id);
    if (waiting != m_places.end())
    {
        m_queue.erase(waiting->second);
        m_places.erase(waiting);
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
    if (is_past_collapse())
    {
        return fall_over(now);
    }
    step_outcome outcome;
    for (auto entry = m_running.begin(); entry != m_running.end();)
    {
        held_job& held = entry->second;
        const auto next = std::next(entry);
        if (!held.is_stalled && held.prefilled_at <= now)
        {
            held.credit += 1.0 / held.wanted.slow_factor;
        }
        if (held.credit >= 1.0)
        {
            held.credit -= 1.0;
            --held.left;
            outcome.produced.push_back(entry->first);
        }
        if (held.left == 0)
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
    return now < m_recovers_at;
}

std::chrono::microseconds batch::step_time() const
{
    const std::chrono::microseconds plain =
        m_options.step +
        m_options.step_per_request * static_cast<std::int64_t>(running());
    const std::size_t held = running() + waiting();
    if (m_options.collapse_at == 0 || held <= m_options.collapse_at)
    {
        return plain;
    }
    const double ratio =
        static_cast<double>(held) / static_cast<double>(m_options.collapse_at);
    const double slower =
        static_cast<double>(plain.count()) * std::pow(ratio, collapse_exponent);
    return std::chrono::microseconds(static_cast<std::int64_t>(slower));
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
        const auto [id, wanted] = first->second;
        m_queue.erase(first);
        m_places.erase(id);
        start(id, wanted, now);
    }
}

void batch::start(job_id id, const job& wanted, ports::steady_time now)
{
    const double prefill =
        static_cast<double>(m_options.prefill_per_token.count()) *
        static_cast<double>(wanted.prefill_tokens) * wanted.slow_factor;
    held_job held;
    held.wanted = wanted;
    held.left = wanted.tokens;
    held.prefilled_at =
        now + wanted.delay +
        std::chrono::microseconds(static_cast<std::int64_t>(prefill));
    m_running[id] = held;
}

bool batch::is_past_collapse() const
{
    const double held = static_cast<double>(running() + waiting());
    return m_options.collapse_at > 0 &&
           held >= fall_ratio * static_cast<double>(m_options.collapse_at);
}

step_outcome batch::fall_over(ports::steady_time now)
{
    step_outcome outcome;
    for (const auto& [id, held] : m_running)
    {
        outcome.lost.push_back(id);
    }
    for (const auto& [id, place] : m_places)
    {
        outcome.lost.push_back(id);
    }
    m_running.clear();
    m_queue.clear();
    m_places.clear();
    m_recovers_at = now + m_options.recovery;
    return outcome;
}

} // namespace turmeric::standins
