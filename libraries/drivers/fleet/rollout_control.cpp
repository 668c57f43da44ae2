#include "libraries/drivers/fleet/rollout_control_state.hpp"

#include "libraries/codecs/move/move_state_codec.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace turmeric::drivers
{

namespace
{

constexpr std::string_view record_prefix = "turmericfront/rollouts/";
constexpr std::chrono::milliseconds retry_interval{500};
/// Each judge leaves the writing to those that rank above it for this time.
constexpr std::chrono::milliseconds takeover_delay{700};
/// The new version takes over once its upstreams have this fraction of the
/// slots of the old one's.
constexpr double min_slots_fraction = 0.5;

std::string record_key_of(const std::string& service)
{
    return std::string(record_prefix) + service;
}

} // namespace

rollout_control::rollout_control(const rollout_dependencies& dependencies,
                                 const peer_table& members,
                                 const document_formats& formats,
                                 const domain::rollout_settings& settings,
                                 std::string self,
                                 std::function<void()> changed)
    : m_dependencies(dependencies)
    , m_members(members)
    , m_formats(formats)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_changed(std::move(changed))
    , m_alive(std::make_shared<rollout_control*>(this))
{
    const std::weak_ptr<rollout_control*> weak = m_alive;
    m_dependencies.store.eras().add_listener(
        [weak](ports::store_era)
        {
            if (const std::shared_ptr<rollout_control*> self_pointer =
                    weak.lock())
            {
                // The copy may have other states, or other revisions.
                (*self_pointer)->load();
            }
        });
}

rollout_control::~rollout_control() = default;

void rollout_control::set_orders(
    const std::vector<domain::rollout_order>& orders)
{
    std::map<std::string, std::unique_ptr<rollout>> next;
    bool has_new_one = false;
    for (const domain::rollout_order& order : orders)
    {
        const auto known = m_rollouts.find(order.service);
        if (known != m_rollouts.end() && known->second != nullptr &&
            known->second->move.order() == order)
        {
            next[order.service] = std::move(known->second);
            continue;
        }
        has_new_one = true;
        next[order.service] = std::make_unique<rollout>(domain::service_rollout(
            m_settings, order, m_dependencies.clock.steady_now()));
    }
    const bool has_changed = has_new_one || next.size() != m_rollouts.size();
    m_rollouts = std::move(next);
    if (has_new_one)
    {
        load();
    }
    if (has_changed)
    {
        m_changed();
    }
}

void rollout_control::set_upstreams(std::vector<domain::upstream_entry> entries)
{
    m_upstreams = std::move(entries);
}

void rollout_control::load()
{
    if (m_is_loading || m_rollouts.empty())
    {
        return;
    }
    m_is_loading = true;
    const std::weak_ptr<rollout_control*> weak = m_alive;
    m_dependencies.store.list(
        std::string(record_prefix),
        [weak](const result<ports::key_range>& response)
        {
            if (const std::shared_ptr<rollout_control*> self = weak.lock())
            {
                (*self)->on_loaded(response);
            }
        });
}

void rollout_control::on_loaded(const result<ports::key_range>& response)
{
    m_is_loading = false;
    if (!response)
    {
        m_load_at = m_dependencies.clock.steady_now() + retry_interval;
        return;
    }
    for (const auto& [service, one] : m_rollouts)
    {
        one->record_revision = 0;
        one->is_loaded = true;
    }
    for (const ports::key_value& record : response.value().entries)
    {
        adopt_record(record);
    }
    m_changed();
}

void rollout_control::adopt_record(const ports::key_value& record)
{
    const std::string service = record.key.substr(record_prefix.size());
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
    {
        return;
    }
    found->second->record_revision = record.modification_revision;
    const result<domain::move_state> state =
        codecs::decode_move_state(record.value);
    if (!state)
    {
        // Replaced by the next state, under the condition of its revision.
        m_dependencies.log.write(log_level::warning,
                                 log_event::document_unreadable,
                                 {{"key", record.key},
                                  {"field", state.failure().field},
                                  {"revision", record.modification_revision}});
        return;
    }
    found->second->move.apply(state.value());
}

std::vector<domain::service_split> rollout_control::splits() const
{
    const std::size_t routers =
        m_members.live_peers(m_dependencies.clock.steady_now()).size() + 1;
    std::vector<domain::service_split> splits;
    for (const auto& [service, one] : m_rollouts)
    {
        domain::service_split split = one->move.split(routers);
        if (!one->is_loaded)
        {
            // The move may have been rolled back before this router started, or
            // finished.
            split.share = 0;
        }
        if (one->is_loaded || has_other_version(*one))
        {
            splits.push_back(std::move(split));
        }
    }
    return splits;
}

bool rollout_control::has_other_version(const rollout& one) const
{
    const domain::rollout_order& order = one.move.order();
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [&order](const domain::upstream_entry& entry)
                       {
                           return entry.service == order.service &&
                                  entry.version != order.to_version &&
                                  entry.state ==
                                      domain::upstream_state::serving;
                       });
}

rollout_control::version_strength
rollout_control::measure(const domain::rollout_order& order,
                         const traffic_digest& traffic) const
{
    const fleet_view view = m_members.view(m_dependencies.clock.steady_now());
    version_strength strength;
    for (const domain::upstream_entry& entry : m_upstreams)
    {
        if (entry.service != order.service)
        {
            continue;
        }
        const bool is_new = entry.version == order.to_version;
        if (entry.state == domain::upstream_state::serving)
        {
            (is_new ? strength.new_slots : strength.old_slots) += entry.slots;
        }
        for (const std::map<std::string, domain::upstream_load>* load :
             {&traffic.load, &view.peer_load})
        {
            const auto found = load->find(entry.id);
            strength.old_requests +=
                is_new || found == load->end() ? 0 : found->second.requests;
        }
    }
    return strength;
}

void rollout_control::update(const traffic_digest& traffic,
                             const domain::router_ranking& ranking,
                             std::chrono::milliseconds report_interval)
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    if (m_load_at && now >= *m_load_at)
    {
        m_load_at.reset();
        load();
    }
    for (const auto& [service, one] : m_rollouts)
    {
        update(*one, traffic, ranking, report_interval);
    }
    send_reports(ranking);
}

void rollout_control::update(rollout& one, const traffic_digest& traffic,
                             const domain::router_ranking& ranking,
                             std::chrono::milliseconds report_interval)
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    if (domain::is_final(one.move.state().phase))
    {
        one.ended_at = one.ended_at.value_or(now);
    }
    if (!one.is_loaded || one.ended_at)
    {
        return;
    }
    for (const domain::move_report& report : traffic.moves)
    {
        if (report.identity == one.move.state().identity)
        {
            one.move.record(m_self, report, now);
        }
    }
    const std::size_t position =
        ranking.position_for(one.move.state().identity);
    if (position >= max_judges)
    {
        one.due_since.reset();
        return;
    }
    const std::string known_reason = one.move.cut_reason();
    one.move.judge(now);
    if (one.move.cut_reason() != known_reason)
    {
        log_cut(one);
        m_changed();
    }
    const version_strength strength = measure(one.move.order(), traffic);
    domain::rollout_input input;
    input.now = now;
    input.routers = ranking.size();
    input.report_interval = report_interval;
    input.is_version_started = strength.new_slots > 0;
    input.is_version_ready =
        static_cast<double>(strength.new_slots) >=
        min_slots_fraction * static_cast<double>(strength.old_slots);
    input.is_old_version_idle = strength.old_requests == 0;
    const std::optional<domain::move_state> next = one.move.next(input);
    if (!next)
    {
        one.due_since.reset();
        return;
    }
    one.due_since = one.due_since.value_or(now);
    const bool is_turn =
        now - *one.due_since >= takeover_delay * static_cast<int>(position);
    const bool is_waiting = one.retry_at && now < *one.retry_at;
    if (is_turn && !is_waiting && !one.is_committing)
    {
        commit(one, *next);
    }
}

void rollout_control::commit(rollout& one, const domain::move_state& next)
{
    const std::string& service = one.move.order().service;
    const std::string key = record_key_of(service);
    ports::store_change change;
    change.conditions.push_back({key, one.record_revision});
    change.writes.push_back({key, codecs::encode(next)});
    change.writes.push_back(m_formats.write_rollout_status(next));
    one.is_committing = true;
    const std::weak_ptr<rollout_control*> weak = m_alive;
    m_dependencies.store.commit(
        change,
        [weak, service, next](const result<ports::change_outcome>& response)
        {
            if (const std::shared_ptr<rollout_control*> self = weak.lock())
            {
                (*self)->on_committed(service, next, response);
            }
        });
}

void rollout_control::on_committed(
    const std::string& service, const domain::move_state& next,
    const result<ports::change_outcome>& response)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() ||
        found->second->move.state().identity != next.identity)
    {
        return;
    }
    rollout& one = *found->second;
    one.is_committing = false;
    if (!response)
    {
        // The change may have taken effect, so the state is read again.
        one.retry_at = m_dependencies.clock.steady_now() + retry_interval;
        m_dependencies.log.write(log_level::warning,
                                 log_event::platform_call_failed,
                                 {{"call", std::string("rollout")},
                                  {"service", service},
                                  {"reason", response.failure().detail}});
        load();
        return;
    }
    if (const ports::change_conflict* conflict =
            std::get_if<ports::change_conflict>(&response.value()))
    {
        one.record_revision = 0;
        for (const ports::key_value& current : conflict->current)
        {
            adopt_record(current);
        }
    }
    else
    {
        one.record_revision =
            std::get<ports::change_committed>(response.value()).at;
        one.move.apply(next);
        log_state(one);
    }
    m_changed();
}

} // namespace turmeric::drivers
