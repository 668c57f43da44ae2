#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <fmt/format.h>
#include <string>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// An upstream that crashes at a prompt does so within this time after the
/// first output of its response.
constexpr std::chrono::milliseconds beginning_time{250};

/// Returns digests of the prompt's first parts without its last one, which is
/// the request's own.
std::string describe_shared_parts(const domain::prompt_description& prompt)
{
    constexpr std::size_t max_parts = 8;
    constexpr std::size_t own_parts = 1;
    std::string text;
    for (std::size_t part = 0;
         part < max_parts && part + own_parts < prompt.parts.size(); ++part)
    {
        text += text.empty() ? "" : ",";
        text += fmt::format("{:x}", prompt.parts[part].id);
    }
    return text;
}

} // namespace

void upstream_attempt::log_broken_call(const exchange& owner,
                                       std::string_view cause,
                                       ports::transport_failure failure) const
{
    std::int64_t ms_since_output = -1;
    if (m_output_since)
    {
        ms_since_output =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                m_state.dependencies.clock.steady_now() - *m_output_since)
                .count();
    }
    const domain::caller_request& request = owner.m_context.parsed_request;
    m_state.dependencies.log.write(
        log_level::warning, log_event::upstream_call_broken,
        {{"request_id", request.id},
         {"upstream", m_chosen_placement.upstream.id},
         {"result", std::string(name_of(failure))},
         {"cause", std::string(cause)},
         {"has_head", m_head.has_value()},
         {"ms_since_output", ms_since_output},
         {"fingerprint", fmt::format("{:x}", owner.fingerprint())},
         {"shared_parts", request.prompt
                              ? describe_shared_parts(*request.prompt)
                              : std::string()}});
}

std::optional<double> upstream_attempt::relative_time() const
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    const ports::steady_time until =
        m_output_since.value_or(m_state.dependencies.clock.steady_now());
    const milliseconds took = until - m_sent_at;
    if (!m_is_stream)
    {
        return took.count();
    }
    const milliseconds usual = m_chosen_placement.usual;
    if (usual.count() == 0)
    {
        return std::nullopt;
    }
    return took / usual;
}

void upstream_attempt::record_version(std::optional<bool> is_success)
{
    const domain::upstream_entry& upstream = m_chosen_placement.upstream;
    const bool is_path_failure =
        !is_success.value_or(false) &&
        m_state.paths.was_cut_off_since(upstream.service, m_sent_at);
    if (is_path_failure || std::exchange(m_is_version_recorded, true))
    {
        return;
    }
    domain::version_outcome outcome;
    outcome.service = upstream.service;
    outcome.version = upstream.version;
    outcome.incarnation = domain::incarnation_of(upstream);
    outcome.route = m_route;
    if (is_success)
    {
        outcome.is_failure = !*is_success;
    }
    // A request that failed before its first output shows no time.
    const bool has_time = is_success.value_or(true) || m_output_since;
    outcome.relative_time = has_time ? relative_time() : std::nullopt;
    const bool is_adverse = m_state.versions.record(
        outcome, m_state.dependencies.clock.steady_now());
    if (is_adverse && m_state.suspicion_handler)
    {
        m_state.suspicion_handler();
    }
}

bool upstream_attempt::is_beginning() const
{
    return !m_output_since ||
           m_state.dependencies.clock.steady_now() - *m_output_since <
               beginning_time;
}

void upstream_attempt::record_upstream_end(const exchange& owner)
{
    if (is_beginning())
    {
        m_state.prober.note_end(m_chosen_placement.upstream,
                                owner.all_suspect_ids(), m_sent_at);
    }
}

void upstream_attempt::record_survived_beginning(const exchange& owner)
{
    if (m_output_since && !m_has_survived_beginning)
    {
        m_has_survived_beginning = true;
        m_state.crashing_parts.record_success(
            owner.suspect_ids(), *m_output_since,
            m_state.dependencies.clock.steady_now());
    }
}

void upstream_attempt::record_complete_response(const exchange& owner)
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    m_output_since = m_output_since.value_or(now);
    m_state.crashing_parts.record_output(now);
    record_survived_beginning(owner);
}

void upstream_attempt::record_rate_limit(const ports::response_head& head,
                                         bool is_success)
{
    const result<std::optional<double>> limit =
        m_state.dependencies.dialect.read_rate_limit(head);
    const domain::upstream_entry& upstream = m_chosen_placement.upstream;
    if (!limit)
    {
        m_state.dependencies.metrics.rate_limits
            .with_labels({upstream.service, "rejected"})
            .add();
        m_state.dependencies.log.write(log_level::warning,
                                       log_event::rate_limit_rejected,
                                       {{"upstream", upstream.id},
                                        {"field", limit.failure().field},
                                        {"reason", limit.failure().detail}});
        return;
    }
    const std::optional<double>& per_second = limit.value();
    if (!per_second && !is_success)
    {
        return;
    }
    if (per_second)
    {
        m_state.dependencies.metrics.rate_limits
            .with_labels({upstream.service, "read"})
            .add();
    }
    const std::uint64_t incarnation = domain::incarnation_of(upstream);
    const bool is_changed = m_state.rate_limits.record_response(
        incarnation, per_second, m_sent_at,
        m_state.dependencies.clock.steady_now());
    if (is_changed)
    {
        constexpr double unlimited = -1;
        m_state.dependencies.log.write(
            log_level::info, log_event::rate_limit_changed,
            {{"upstream", upstream.id},
             {"limit", per_second.value_or(unlimited)},
             {"own_rate",
              m_state.rate_limits.own_rate(incarnation).value_or(unlimited)}});
    }
}

} // namespace turmeric::drivers
