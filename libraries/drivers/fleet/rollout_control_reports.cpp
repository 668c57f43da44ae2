#include "libraries/drivers/fleet/rollout_control_state.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <functional>

namespace turmeric::drivers
{

namespace
{

/// For this time after the end of a move, the judges go on to tell its state to
/// routers that have missed it.
constexpr std::chrono::milliseconds final_report_time{5'000};

log_event event_of(domain::move_phase phase)
{
    switch (phase)
    {
    case domain::move_phase::waiting:
    case domain::move_phase::ramping:
    case domain::move_phase::soaking:
        return log_event::move_stepped;
    case domain::move_phase::finished:
        return log_event::move_finished;
    case domain::move_phase::rolling_back:
    case domain::move_phase::rolled_back:
        return log_event::move_taken_back;
    }
    return log_event::move_stepped;
}

} // namespace

void rollout_control::log_state(const rollout& one) const
{
    const domain::move_state& state = one.move.state();
    const domain::tally_pair total = one.move.total();
    const domain::proportion& failures =
        total.to.of(domain::judged_property::failure);
    const domain::proportion& slow =
        total.to.of(domain::judged_property::slow_first_token);
    m_dependencies.log.write(
        log_level::info, event_of(state.phase),
        {{"service", state.route},
         {"version", state.to_version},
         {"phase", std::string(name_of(state.phase))},
         {"share_ppm", static_cast<std::int64_t>(state.share)},
         {"reason", state.reason},
         {"elapsed_ms",
          static_cast<std::int64_t>(
              one.move.elapsed(m_dependencies.clock.steady_now()).count())},
         {"requests", failures.trials},
         {"failures", failures.hits},
         {"slow", slow.hits},
         {"timed", slow.trials}});
}

void rollout_control::log_cut(rollout& one) const
{
    if (one.is_cut_logged || one.move.cut_reason().empty())
    {
        return;
    }
    one.is_cut_logged = true;
    m_dependencies.log.write(log_level::warning, log_event::move_cut,
                             {{"service", one.move.order().service},
                              {"version", one.move.order().to_version},
                              {"reason", one.move.cut_reason()}});
}

void rollout_control::handle(const codecs::rollout_message& message)
{
    std::int64_t& received = m_received[message.sender];
    if (message.sequence <= received || message.sender == m_self)
    {
        return;
    }
    received = message.sequence;
    const ports::steady_time now = m_dependencies.clock.steady_now();
    bool has_changed = false;
    for (const codecs::rollout_report& report : message.reports)
    {
        const auto found = m_rollouts.find(report.service);
        if (found == m_rollouts.end() ||
            found->second->move.state().identity != report.state.identity)
        {
            continue;
        }
        rollout& one = *found->second;
        const domain::service_split before = one.move.split(1);
        has_changed = has_changed || !one.is_loaded;
        one.is_loaded = true;
        one.move.apply_elapsed(report.elapsed, now);
        one.move.record(message.sender, report.seen, now);
        one.move.apply(report.state);
        one.move.cut(report.cut_reason);
        log_cut(one);
        has_changed = has_changed || one.move.split(1) != before;
    }
    if (has_changed)
    {
        m_changed();
    }
}

std::set<std::string> rollout_control::list_judges(std::uint64_t identity) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const std::string& peer :
         m_members.live_peers(m_dependencies.clock.steady_now()))
    {
        ranked.emplace_back(domain::rank_of(identity, domain::digest_of(peer)),
                            peer);
    }
    const std::size_t count = std::min(max_judges, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::set<std::string> judges;
    for (std::size_t index = 0; index < count; ++index)
    {
        judges.insert(ranked[index].second);
    }
    return judges;
}

void rollout_control::send_reports(const domain::router_ranking& ranking)
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    codecs::rollout_message message;
    std::set<std::string> receivers;
    for (const auto& [service, one] : m_rollouts)
    {
        const std::uint64_t identity = one->move.state().identity;
        const bool is_judge = ranking.position_for(identity) < max_judges;
        const bool is_over =
            one->ended_at &&
            (!is_judge || now - *one->ended_at > final_report_time);
        if (!one->is_loaded || is_over)
        {
            continue;
        }
        receivers.merge(is_judge ? m_members.live_peers(now)
                                 : list_judges(identity));
        codecs::rollout_report report;
        report.service = service;
        report.elapsed = one->move.elapsed(now);
        report.cut_reason = one->move.cut_reason();
        report.state = one->move.state();
        report.seen = one->move.report_of(m_self);
        message.reports.push_back(std::move(report));
    }
    if (message.reports.empty())
    {
        return;
    }
    message.sender = m_self;
    message.sequence = ++m_sequence;
    const std::string bytes = codecs::write_rollout_message(message);
    for (const std::string& receiver : receivers)
    {
        if (const std::optional<std::string> address =
                m_members.address_of(receiver))
        {
            m_dependencies.peers.send(*address, bytes);
        }
    }
}

} // namespace turmeric::drivers
