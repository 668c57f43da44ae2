#include "libraries/drivers/move/version_guard.hpp"

#include "libraries/codecs/move/evidence_codec.hpp"
#include "libraries/domain/move/version_picker.hpp"

#include <utility>

namespace turmeric::drivers
{

version_guard::version_guard(const domain::guard_settings& settings,
                             std::string incarnation, const ports::clock& clock,
                             logger& log)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_clock(clock)
    , m_log(log)
{
}

void version_guard::apply_routes(
    const std::vector<domain::route_declaration>& routes)
{
    const std::lock_guard lock(m_mutex);
    m_routes.clear();
    for (const domain::route_declaration& route : routes)
    {
        m_routes[route.name] = route.versions;
    }
    std::erase_if(m_moves, [this](const auto& entry)
                  { return !m_routes.contains(entry.first); });
}

void version_guard::apply_move_state(const domain::move_state& state)
{
    const std::lock_guard lock(m_mutex);
    const ports::steady_time now = m_clock.steady_now();
    const auto found = m_moves.find(state.route);
    if (found == m_moves.end())
    {
        m_moves.emplace(state.route,
                        domain::move_guard(m_settings, state, now));
        return;
    }
    const domain::move_state& in_force = found->second.state();
    if (in_force.identity == state.identity)
    {
        found->second.apply(state, now);
        return;
    }
    if (state.fencing >= in_force.fencing)
    {
        found->second = domain::move_guard(m_settings, state, now);
    }
}

void version_guard::remove_move(const std::string& route)
{
    const std::lock_guard lock(m_mutex);
    m_moves.erase(route);
}

std::string version_guard::pick(const std::string& route,
                                const std::string& request_id)
{
    const std::int32_t bucket =
        domain::version_picker::bucket_of(route, request_id);
    const std::lock_guard lock(m_mutex);
    return domain::version_picker::pick(shares_locked(route), bucket);
}

std::vector<domain::version_share>
version_guard::shares(const std::string& route)
{
    const std::lock_guard lock(m_mutex);
    return shares_locked(route);
}

std::vector<domain::version_share>
version_guard::shares_locked(const std::string& route) const
{
    const auto declared = m_routes.find(route);
    if (declared == m_routes.end())
    {
        return {};
    }
    const auto move = m_moves.find(route);
    if (move == m_moves.end())
    {
        return declared->second;
    }
    const domain::move_state& state = move->second.state();
    const std::int32_t share = move->second.share(m_clock.steady_now());
    return {{state.to_version, share},
            {state.from_version, domain::full_share - share}};
}

void version_guard::record(const std::string& route, const std::string& version,
                           const domain::request_observation& observation)
{
    std::string reason;
    {
        const std::lock_guard lock(m_mutex);
        const auto move = m_moves.find(route);
        if (move == m_moves.end())
        {
            return;
        }
        domain::move_guard& guard = move->second;
        const bool is_new = version == guard.state().to_version;
        if (!is_new && version != guard.state().from_version)
        {
            return;
        }
        if (!guard.record(is_new, observation, m_clock.steady_now()))
        {
            return;
        }
        reason = guard.cut_reason();
    }
    m_log.write(log_level::warning, log_event::move_cut,
                {{"route", route}, {"version", version}, {"reason", reason}});
}

result<std::string>
version_guard::handle_message(const ports::peer_message& message)
{
    result<domain::evidence_request> request =
        codecs::decode_evidence_request(message.body);
    if (!request)
    {
        return request.failure();
    }
    domain::evidence_response response;
    response.incarnation = m_incarnation;
    const std::lock_guard lock(m_mutex);
    const ports::steady_time now = m_clock.steady_now();
    for (const domain::evidence_question& question : request.value().questions)
    {
        const auto move = m_moves.find(question.route);
        if (move == m_moves.end() ||
            move->second.state().identity != question.identity)
        {
            continue;
        }
        move->second.record_controller_contact(request.value().fencing, now);
        if (!question.cut_reason.empty())
        {
            move->second.cut(request.value().fencing, question.cut_reason);
        }
        response.reports.push_back(report_locked(question, move->second));
    }
    return codecs::encode(response);
}

domain::evidence_report
version_guard::report_locked(const domain::evidence_question& question,
                             const domain::move_guard& guard) const
{
    constexpr std::chrono::microseconds unlimited = std::chrono::hours(1);
    const domain::latency_limits limits =
        question.limits.value_or(domain::latency_limits{unlimited, unlimited});
    domain::evidence_report report;
    report.route = question.route;
    report.identity = question.identity;
    report.sequence = guard.state().sequence;
    report.cut_reason = guard.cut_reason();
    report.tally =
        domain::tally_of(guard.from_evidence(), guard.to_evidence(), limits);
    if (!question.limits)
    {
        report.from_evidence = guard.from_evidence();
    }
    return report;
}

} // namespace turmeric::drivers
