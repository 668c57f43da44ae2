#include "libraries/domain/placement/upstream_load_balancer.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

/// Weight of the newest observation in a smoothed mean.
constexpr double smoothing_factor = 0.1;
constexpr std::int32_t failures_to_eject = 3;
constexpr std::chrono::milliseconds first_ejection{1'000};
constexpr std::int32_t max_ejection_doublings = 2;
/// Limits of the ratio of measured to predicted time in one observation.
constexpr double min_time_ratio = 0.5;
constexpr double max_time_ratio = 8.0;

} // namespace

void upstream_load_balancer::note_sent(const placement& chosen,
                                       const prompt_description* prompt,
                                       ports::steady_time now)
{
    const auto found = m_upstreams.find(chosen.upstream.id);
    if (found == m_upstreams.end())
    {
        return;
    }
    ++found->second.own_load.requests;
    found->second.own_load.unread_tokens += chosen.tokens_to_read;
    if (prompt != nullptr)
    {
        found->second.prefixes.record_use(prompt->parts, now);
    }
}

void upstream_load_balancer::note_first_output(const placement& chosen,
                                               std::chrono::milliseconds took)
{
    const auto found = m_upstreams.find(chosen.upstream.id);
    if (found == m_upstreams.end())
    {
        return;
    }
    upstream_record& record = found->second;
    record.own_load.unread_tokens = std::max<std::int64_t>(
        0, record.own_load.unread_tokens - chosen.tokens_to_read);
    first_token_model& model = m_models[record.entry.service];
    if (model.is_ready())
    {
        const double expected = std::max<double>(
            1.0, static_cast<double>(model.predict(chosen.work).count()));
        const double ratio =
            std::clamp(static_cast<double>(took.count()) / expected,
                       min_time_ratio, max_time_ratio);
        record.slowness += smoothing_factor * (ratio - record.slowness);
    }
    model.add_observation(chosen.work, took);
}

void upstream_load_balancer::note_ended(const placement& chosen,
                                        bool had_first_output)
{
    const auto found = m_upstreams.find(chosen.upstream.id);
    if (found == m_upstreams.end())
    {
        return;
    }
    upstream_record& record = found->second;
    record.own_load.requests =
        std::max<std::int64_t>(0, record.own_load.requests - 1);
    if (!had_first_output)
    {
        record.own_load.unread_tokens = std::max<std::int64_t>(
            0, record.own_load.unread_tokens - chosen.tokens_to_read);
    }
}

bool upstream_load_balancer::note_outcome(const std::string& id,
                                          bool is_success,
                                          ports::steady_time now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
    {
        return false;
    }
    upstream_record& record = found->second;
    record.failure_rate +=
        smoothing_factor * ((is_success ? 0.0 : 1.0) - record.failure_rate);
    if (is_success)
    {
        record.consecutive_failures = 0;
        record.ejected_until.reset();
        return false;
    }
    ++record.consecutive_failures;
    if (record.consecutive_failures < failures_to_eject)
    {
        return false;
    }
    const std::int32_t doublings =
        std::min(max_ejection_doublings,
                 record.consecutive_failures - failures_to_eject);
    record.ejected_until = now + first_ejection * (1 << doublings);
    return true;
}

std::vector<upstream_entry>
upstream_load_balancer::forget_failures(const std::string& service)
{
    std::vector<upstream_entry> upstreams;
    for (auto& [id, record] : m_upstreams)
    {
        if (record.entry.service == service)
        {
            record.consecutive_failures = 0;
            record.ejected_until.reset();
            upstreams.push_back(record.entry);
        }
    }
    return upstreams;
}

std::map<std::string, upstream_load> upstream_load_balancer::own_load(
    const std::set<std::string>& unreached_services) const
{
    std::map<std::string, upstream_load> load;
    for (const auto& [id, record] : m_upstreams)
    {
        if (record.own_load.requests > 0 &&
            unreached_services.count(record.entry.service) == 0)
        {
            load[id] = record.own_load;
        }
    }
    return load;
}

bool upstream_load_balancer::is_ready(const std::string& id) const
{
    const auto found = m_upstreams.find(id);
    return found != m_upstreams.end() &&
           found->second.entry.state == upstream_state::serving;
}

} // namespace turmeric::domain
