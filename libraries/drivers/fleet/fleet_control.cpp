#include "libraries/drivers/fleet/fleet_control.hpp"

#include <algorithm>
#include <fmt/ranges.h>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The interval between digests. Each router sends its digest to all others,
/// so the interval grows with the number of routers to limit the messages.
constexpr std::chrono::milliseconds min_tick_interval{200};
constexpr std::chrono::milliseconds tick_interval_per_router{10};
/// The smallest interval between digests that tell of a refusal.
constexpr std::chrono::milliseconds min_rejection_interval{20};
constexpr std::chrono::milliseconds watch_wait{2'200};
/// The store delivers a configuration that peers have in force within this
/// time, unless it has an older one.
constexpr std::chrono::milliseconds max_configuration_delay{500};
/// An upstream that is running registers again within two seconds of the end
/// of a store outage in which its entry expired.
constexpr std::chrono::milliseconds upstream_deletion_grace{2'100};
/// An outage ends for a router with the first read that succeeds; the grace
/// begins then.
constexpr std::chrono::milliseconds outage_read_interval{500};

} // namespace

fleet_control::fleet_control(fleet_control_dependencies dependencies,
                             const document_formats& formats, fleet_member self,
                             const domain::rollout_settings& rollouts)
    : m_dependencies(std::move(dependencies))
    , m_formats(formats)
    , m_self(std::move(self))
    , m_store(m_dependencies.store, m_dependencies.clock)
    , m_configuration(m_store, m_dependencies.timers, m_dependencies.clock,
                      m_dependencies.log,
                      {m_formats.operator_prefix.empty()
                           ? m_formats.configuration_key
                           : m_formats.operator_prefix,
                       watch_wait, std::chrono::milliseconds(0)})
    , m_upstreams(
          m_store, m_dependencies.timers, m_dependencies.clock,
          m_dependencies.log,
          {m_formats.upstream_prefix, watch_wait, upstream_deletion_grace,
           [this](ports::steady_time now)
           { return m_peers.store_available_since(m_store.contact(), now); },
           outage_read_interval})
    , m_registry(m_store, m_dependencies.timers, m_dependencies.clock,
                 m_dependencies.log, m_self)
    , m_peers(m_self)
    , m_tokens({m_store, m_dependencies.timers, m_dependencies.clock,
                m_dependencies.peers, m_dependencies.traffic,
                m_dependencies.log},
               m_peers, m_self,
               [this] { return store_unavailable_since().has_value(); })
    , m_rollouts({m_store, m_dependencies.clock, m_dependencies.peers,
                  m_dependencies.log},
                 m_peers, m_formats, rollouts, m_self.incarnation,
                 [this] { update_traffic(); })
    , m_blocked_parts(m_store, m_dependencies.timers, m_dependencies.clock,
                      m_dependencies.log)
{
}

fleet_control::~fleet_control() = default;

void fleet_control::start()
{
    m_dependencies.store.eras().add_listener(
        [this](ports::store_era era)
        {
            m_dependencies.log.write(log_level::warning,
                                     log_event::store_restored, {{"era", era}});
        });
    m_configuration.start([this](const followed_items& items)
                          { on_operator_items(items); });
    m_upstreams.start([this](const followed_items& items)
                      { on_upstreams(items); });
    m_registry.start([this](const std::vector<fleet_member>& members)
                     { on_members(members); });
    m_peers.set_members({m_self}, m_dependencies.clock.steady_now());
    m_tokens.start([this] { update_traffic(); });
    m_blocked_parts.load(
        [this](std::vector<domain::suspect_part> blocked) {
            m_dependencies.traffic.merge_observations({std::move(blocked), {}});
        });
    m_dependencies.peers.receive([this](std::string_view bytes)
                                 { on_datagram(bytes); });
    tick();
}

void fleet_control::tick()
{
    request_traffic_digest();
    m_timer = m_dependencies.timers.schedule(m_dependencies.clock.steady_now() +
                                                 report_interval(),
                                             [this] { tick(); });
}

std::chrono::milliseconds fleet_control::report_interval() const
{
    return std::max(
        min_tick_interval,
        tick_interval_per_router *
            m_peers.count_routers(m_dependencies.clock.steady_now()));
}

void fleet_control::request_traffic_digest()
{
    m_last_report_at = m_dependencies.clock.steady_now();
    m_dependencies.traffic.request_digest([this](const traffic_digest& traffic)
                                          { on_traffic_digest(traffic); });
}

void fleet_control::report_early()
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    if (now - m_last_report_at >= min_tick_interval)
    {
        request_traffic_digest();
    }
}

void fleet_control::report_rejection()
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    if (now - m_last_report_at >= min_rejection_interval)
    {
        request_traffic_digest();
    }
}

void fleet_control::on_traffic_digest(const traffic_digest& traffic)
{
    apply_evacuations(m_evacuations.expire(m_dependencies.clock.steady_now()));
    m_tokens.update_holders();
    codecs::peer_digest digest;
    digest.incarnation = m_self.incarnation;
    digest.sequence = ++m_sequence;
    digest.configuration_version =
        m_routes == nullptr ? 0 : m_routes->version();
    digest.is_leaving = m_is_leaving;
    digest.is_store_unavailable = store_unavailable_since().has_value();
    digest.store_contact = m_store.contact().latest();
    digest.load = traffic.load;
    digest.accounts = m_tokens.report(traffic);
    digest.observations = traffic.observations;
    digest.cut_off_services = traffic.cut_off_services;
    m_is_overloaded = traffic.is_overloaded;
    digest.is_overloaded = m_is_overloaded;
    const std::string bytes =
        codecs::write_digest(digest, m_dependencies.clock.steady_now());
    for (const std::string& address : m_peers.peer_addresses())
    {
        m_dependencies.peers.send(address, bytes);
    }
    m_blocked_parts.update(traffic.blocked, ranking());
    m_tokens.adjust(traffic);
    m_rollouts.update(traffic, ranking(), report_interval());
    request_configuration_from_peer();
    update_traffic();
}

void fleet_control::on_datagram(std::string_view bytes)
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    result<codecs::peer_digest> digest = codecs::read_digest(bytes, now);
    if (digest)
    {
        if (!digest.value().observations.empty())
        {
            m_dependencies.traffic.merge_observations(
                std::exchange(digest.value().observations, {}));
        }
        m_peers.apply_digest(std::move(digest.value()), now);
        return;
    }
    const result<codecs::token_message> message =
        codecs::read_token_message(bytes);
    if (message)
    {
        m_tokens.handle_message(message.value());
        return;
    }
    const result<codecs::granted_totals_message> totals =
        codecs::read_totals_message(bytes);
    if (totals)
    {
        m_tokens.handle_totals(totals.value());
        return;
    }
    const result<codecs::spending_message> spending =
        codecs::read_spending_message(bytes);
    if (spending)
    {
        m_tokens.handle_spending(spending.value());
        return;
    }
    const result<codecs::rollout_message> rollouts =
        codecs::read_rollout_message(bytes);
    if (rollouts)
    {
        m_rollouts.handle(rollouts.value());
    }
}

void fleet_control::on_operator_items(const followed_items& items)
{
    // The orders go first, so that no new version is taken for an ordinary one
    // by a router that has just started.
    on_rollout_orders(items);
    on_evacuation_orders(items);
    const auto found = items.find(m_formats.configuration_key);
    if (found != items.end())
    {
        apply_configuration(found->second.value, "store");
    }
}

void fleet_control::on_rollout_orders(const followed_items& items)
{
    std::vector<domain::rollout_order> orders;
    for (const auto& [key, item] : items)
    {
        if (m_formats.rollout_prefix.empty() ||
            !key.starts_with(m_formats.rollout_prefix))
        {
            continue;
        }
        result<domain::rollout_order> order =
            m_formats.read_rollout(item.value);
        if (!order)
        {
            m_dependencies.log.write(
                log_level::warning, log_event::document_unreadable,
                {{"key", key},
                 {"field", order.failure().field},
                 {"revision", item.modification_revision}});
            continue;
        }
        order.value().revision = item.modification_revision;
        orders.push_back(std::move(order.value()));
    }
    m_rollouts.set_orders(orders);
}

void fleet_control::on_evacuation_orders(const followed_items& items)
{
    if (m_formats.evacuation_prefix.empty())
    {
        return;
    }
    std::set<std::string> ordered;
    for (const auto& [key, item] : items)
    {
        if (!key.starts_with(m_formats.evacuation_prefix))
        {
            continue;
        }
        // An order that is not understood completely is obeyed all the same:
        // its key says what matters.
        const status checked = m_formats.check_evacuation(key, item.value);
        if (!checked)
        {
            m_dependencies.log.write(
                log_level::warning, log_event::document_unreadable,
                {{"key", key},
                 {"field", checked.failure().field},
                 {"revision", item.modification_revision}});
        }
        ordered.insert(key.substr(m_formats.evacuation_prefix.size()));
    }
    apply_evacuations(m_evacuations.update(std::move(ordered),
                                           m_store.eras().current(),
                                           m_dependencies.clock.steady_now()));
}

void fleet_control::apply_evacuations(
    const std::vector<domain::evacuation_change>& changes)
{
    for (const domain::evacuation_change& change : changes)
    {
        const std::int64_t upstreams =
            std::count_if(m_upstream_entries.begin(), m_upstream_entries.end(),
                          [&](const domain::upstream_entry& entry)
                          { return entry.data_centre == change.data_centre; });
        const bool is_unknown = m_upstreams.has_read() && upstreams == 0;
        m_dependencies.log.write(
            is_unknown ? log_level::warning : log_level::info,
            change.is_begun ? log_event::evacuation_begun
                            : log_event::evacuation_ended,
            {{"data_centre", change.data_centre}, {"upstreams", upstreams}});
    }
    if (!changes.empty() && m_upstreams.has_read())
    {
        publish_upstreams();
    }
}

void fleet_control::apply_configuration(const std::string& text,
                                        const char* source)
{
    if (text == m_configuration_text)
    {
        return;
    }
    result<domain::route_declarations> declarations =
        m_formats.read_configuration(text);
    if (!declarations)
    {
        m_dependencies.log.write(log_level::error,
                                 log_event::configuration_rejected,
                                 {{"field", declarations.failure().field},
                                  {"reason", declarations.failure().detail},
                                  {"source", std::string(source)}});
        return;
    }
    if (m_routes != nullptr &&
        declarations.value().version <= m_routes->version())
    {
        return;
    }
    m_configuration_text = text;
    m_routes = std::make_shared<const domain::route_table>(
        std::move(declarations.value()));
    m_dependencies.log.write(
        log_level::info, log_event::configuration_in_force,
        {{"version", m_routes->version()},
         {"source", std::string(source)},
         {"idle_ms",
          static_cast<std::int64_t>(m_routes->limits().idle_timeout.count())},
         {"header_ms", static_cast<std::int64_t>(
                           m_routes->limits().header_timeout.count())}});
    m_dependencies.traffic.set_routes(m_routes);
    m_tokens.set_accounts(m_routes->accounts());
}

void fleet_control::request_configuration_from_peer()
{
    const std::optional<std::string> peer = find_configuration_source();
    if (!peer || m_is_requesting_configuration)
    {
        return;
    }
    m_is_requesting_configuration = true;
    m_dependencies.request_peer_configuration(
        *peer,
        [this](const std::string& text)
        {
            m_is_requesting_configuration = false;
            if (!text.empty())
            {
                apply_configuration(text, "peer");
            }
        });
}

std::optional<std::string> fleet_control::find_configuration_source()
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    const std::int64_t version = m_routes == nullptr ? 0 : m_routes->version();
    const std::optional<std::string> peer =
        m_peers.find_newer_configuration(version, now);
    if (!peer)
    {
        m_outdated_since.reset();
        return std::nullopt;
    }
    m_outdated_since = m_outdated_since.value_or(now);
    const bool is_store_late =
        now - *m_outdated_since >= max_configuration_delay;
    return m_configuration.unavailable_since() || is_store_late ? peer
                                                                : std::nullopt;
}

void fleet_control::on_upstreams(const followed_items& items)
{
    std::erase_if(m_logged_revisions, [&](const auto& logged)
                  { return items.count(logged.first) == 0; });
    std::vector<domain::upstream_entry> entries;
    std::int64_t ready = 0;
    for (const auto& [key, item] : items)
    {
        result<domain::upstream_entry> entry =
            m_formats.read_upstream(key, item.value);
        if (!entry)
        {
            m_dependencies.log.write(
                log_level::warning, log_event::document_unreadable,
                {{"key", key},
                 {"field", entry.failure().field},
                 {"revision", item.modification_revision}});
            continue;
        }
        log_ignored_field(item, entry.value());
        ready += entry.value().state == domain::upstream_state::serving ? 1 : 0;
        entries.push_back(std::move(entry.value()));
    }
    m_dependencies.log.write(
        log_level::info, log_event::upstreams_changed,
        {{"known", static_cast<std::int64_t>(entries.size())},
         {"ready", ready}});
    m_upstream_entries = std::move(entries);
    publish_upstreams();
}

void fleet_control::log_ignored_field(const ports::key_value& item,
                                      const domain::upstream_entry& entry)
{
    ports::revision& logged = m_logged_revisions[item.key];
    if (entry.ignored_field.empty() || logged == item.modification_revision)
    {
        return;
    }
    logged = item.modification_revision;
    m_dependencies.log.write(log_level::warning, log_event::document_unreadable,
                             {{"key", item.key},
                              {"field", entry.ignored_field},
                              {"revision", item.modification_revision}});
}

void fleet_control::publish_upstreams()
{
    std::vector<domain::upstream_entry> entries = m_upstream_entries;
    for (domain::upstream_entry& entry : entries)
    {
        if (m_evacuations.contains(entry.data_centre))
        {
            entry.state = domain::upstream_state::leaving;
        }
    }
    m_rollouts.set_upstreams(entries);
    m_dependencies.traffic.set_upstreams(std::move(entries));
}

void fleet_control::on_members(const std::vector<fleet_member>& members)
{
    std::set<std::string> incarnations;
    for (const fleet_member& member : members)
    {
        incarnations.insert(member.incarnation);
    }
    m_peers.set_members(members, m_dependencies.clock.steady_now());
    m_has_members = true;
    m_dependencies.log.write(
        log_level::info, log_event::member_joined,
        {{"members", static_cast<std::int64_t>(incarnations.size())}});
    m_tokens.set_members(std::move(incarnations));
}

std::optional<ports::steady_time> fleet_control::store_unavailable_since() const
{
    const std::optional<ports::steady_time> since =
        m_tokens.unavailable_since();
    return since ? since : m_upstreams.unavailable_since();
}

domain::router_ranking fleet_control::ranking() const
{
    return {m_self.incarnation,
            m_peers.live_peers(m_dependencies.clock.steady_now())};
}

void fleet_control::update_traffic()
{
    const ports::steady_time now = m_dependencies.clock.steady_now();
    fleet_view view = m_peers.view(now);
    view.ranking = ranking();
    if (m_has_members)
    {
        view.registered = domain::router_ranking(m_self.incarnation,
                                                 m_peers.registered_peers());
    }
    view.store_unavailable_since = store_unavailable_since();
    m_tokens.add_accounts(view);
    view.splits = m_rollouts.splits();
    view.evacuated_data_centres =
        static_cast<std::int64_t>(m_evacuations.size());
    m_dependencies.traffic.set_fleet(std::move(view));
}

void fleet_control::leave()
{
    m_is_leaving = true;
    m_tokens.set_leaving();
    tick();
}

void fleet_control::adjust_token_grants()
{
    m_tokens.adjust();
}

void fleet_control::return_tokens(std::function<void()> done)
{
    m_tokens.return_tokens(
        [this, done = std::move(done)]
        {
            // Other routers drop the entry of a router that is not registered
            // from the token records, so the registration ends after the
            // return.
            m_registry.leave();
            done();
        });
}

bool fleet_control::is_ready() const
{
    // Without the operators' orders, evacuated upstreams would be used.
    const bool has_orders =
        m_formats.evacuation_prefix.empty() || m_configuration.has_read();
    return !m_is_leaving && m_routes != nullptr && m_upstreams.has_read() &&
           has_orders && !is_relieved_by_others();
}

bool fleet_control::is_relieved_by_others() const
{
    if (!m_is_overloaded)
    {
        return false;
    }
    const std::vector<std::string> listed = domain::list_entries(
        m_peers.entry_candidates(m_is_leaving, m_is_overloaded,
                                 m_dependencies.clock.steady_now()),
        m_self.data_centre);
    return std::find(listed.begin(), listed.end(), m_self.caller_address) ==
           listed.end();
}

std::vector<std::string>
fleet_control::list_entries(const std::string& data_centre) const
{
    std::vector<std::string> addresses = domain::list_entries(
        m_peers.entry_candidates(m_is_leaving, m_is_overloaded,
                                 m_dependencies.clock.steady_now()),
        data_centre);
    m_dependencies.log.write(
        log_level::debug, log_event::entries_listed,
        {{"data_centre", data_centre},
         {"count", static_cast<std::int64_t>(addresses.size())},
         {"addresses", fmt::format("{}", fmt::join(addresses, ","))}});
    return addresses;
}

const std::string& fleet_control::configuration_text() const
{
    return m_configuration_text;
}

} // namespace turmeric::drivers
