#include "services/router/router_process.hpp"

#include "libraries/adapters/openssl/digests.hpp"
#include "libraries/codecs/move/move_state_codec.hpp"
#include "libraries/core/json.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace turmeric::router
{

namespace
{

constexpr std::chrono::milliseconds refresh_interval{200};
constexpr std::chrono::milliseconds copy_interval{2'000};
constexpr std::size_t idle_upstream_connections = 64;
// A committer that is silent for longer is passed over.
constexpr std::chrono::milliseconds longest_forward{1'500};

drivers::budget_settings budget_settings_of(const router_settings& settings)
{
    drivers::budget_settings made;
    made.ledger.shard_count = settings.budget_shards;
    made.ledger.grant_term = settings.grant_term;
    made.ledger.clock_skew = settings.clock_skew;
    made.committer.shard_count = settings.budget_shards;
    made.committer.writer.write_interval = settings.write_interval;
    // Ready just before the committer's next write.
    made.commit_interval = settings.write_interval * 4 / 5;
    return made;
}

} // namespace

router_process::router_process(const router_settings& settings)
    : m_settings(settings)
    , m_incarnation(adapters::make_incarnation(settings.name))
    , m_log(m_clock, adapters::parse_log_level(settings.log_level),
            adapters::parse_log_format(settings.log_format), settings.name)
    , m_shared_metrics(m_metrics, {std::chrono::milliseconds(370)},
                       {std::chrono::milliseconds(40)})
    , m_counters(m_metrics, m_shared_metrics, m_log)
    , m_etcd(adapters::store_settings_of(settings))
    , m_store(m_etcd, m_shared_metrics.platform_calls)
    , m_vms({settings.vm_list_address, settings.connect_timeout,
             settings.platform_timeout})
    , m_upstreams(settings.connect_timeout, idle_upstream_connections)
    , m_peers(m_clock, [this](const ports::peer_message& message)
              { return handle_peer(message); })
    , m_budget_settings(budget_settings_of(settings))
    , m_grant_policy(m_budget_settings.grants)
    , m_local_committer(m_store, m_clock, m_random, m_log,
                        m_budget_settings.committer, m_grant_policy)
    , m_committer(
          m_peers, m_local_committer, m_clock,
          [this](std::int32_t shard)
          { return m_is_started ? m_fleet->find_committer(shard) : ""; },
          longest_forward)
    , m_replica(
          m_peers, m_clock,
          [this] {
              return m_is_started ? m_fleet->copy_holders()
                                  : std::vector<std::string>();
          },
          settings.budget_shards)
    , m_copies({}, m_clock)
    , m_editor(m_store, m_clock, m_random)
    , m_copy_settler(m_copies, m_editor, m_clock, m_log)
    , m_budgets({m_store, m_clock, m_random, m_log, &m_committer, &m_replica},
                m_budget_settings, m_incarnation)
    , m_ledger(m_budgets, m_clock, {settings.hold_wait, settings.bill_wait})
    , m_versions({}, m_incarnation, m_clock, m_log)
    , m_traffic(settings.traffic, m_clock, m_random, m_log)
    , m_answers(settings.answers, m_clock)
    , m_runner({m_traffic, m_versions, m_ledger, m_upstreams, m_counters,
                m_clock, settings.data_centre},
               settings.patience)
    , m_gauges(m_metrics, m_shared_metrics, m_traffic, m_answers, m_budgets,
               m_local_committer)
    , m_runs(settings.caller_server.max_connections)
    , m_front({m_answers, m_runner, m_runs, m_counters, m_metrics, m_clock,
               [this](const std::string& account)
               { return m_is_started ? m_fleet->locate(account) : "{}"; },
               [this] { m_gauges.refresh(); }, [this] { return find_fault(); },
               settings.bytes_per_token})
    , m_server(settings.caller_server,
               [this](const adapters::http_request& request)
               { return m_front.handle(request); })
{
}

router_process::~router_process() = default;

result<router_addresses> router_process::start()
{
    result<int> peer_port =
        m_peers.start(m_settings.peer_host, m_settings.peer_port);
    if (!peer_port)
    {
        return peer_port.failure();
    }
    result<int> caller_port = m_server.start();
    if (!caller_port)
    {
        return caller_port.failure();
    }
    router_addresses addresses;
    addresses.caller = fmt::format("{}:{}", m_settings.caller_server.host,
                                   caller_port.value());
    addresses.peer =
        fmt::format("{}:{}", m_settings.peer_host, peer_port.value());

    domain::member self;
    self.incarnation = m_incarnation;
    self.address = addresses.caller;
    self.peer_address = addresses.peer;
    self.vm = m_settings.vm;
    self.data_centre = m_settings.data_centre;
    self.started = m_clock.system_now();
    drivers::membership_settings membership;
    membership.lease_ttl = m_settings.lease;
    m_membership = std::make_unique<drivers::membership_service>(
        self, membership, m_store, m_vms, m_peers, m_clock, m_log);
    m_follower = std::make_unique<drivers::configuration_follower>(
        m_store, m_log,
        drivers::follower_peers{&m_peers,
                                [this] { return m_fleet->peer_addresses(); }},
        drivers::follower_timing());
    m_fleet = std::make_unique<fleet_wiring>(
        fleet_parts{*m_membership, *m_follower, m_traffic, m_answers},
        fleet_identity{m_incarnation, m_settings.vm, m_settings.data_centre,
                       m_settings.seed_peers});
    m_follower->set_listener(
        [this]
        {
            apply_configuration();
            apply_moves();
        });
    auto since_1970 = std::chrono::duration_cast<std::chrono::seconds>(
        self.started.time_since_epoch());
    m_shared_metrics.start_time.with_labels({}).set(since_1970.count());
    m_membership->start();
    m_follower->start();
    m_refresher = std::make_unique<drivers::control_thread>(
        refresh_interval, [this] { m_fleet->refresh(); });
    m_copy_thread = std::make_unique<drivers::control_thread>(
        copy_interval, [this] { settle_copies(); });
    m_is_started = true;
    return addresses;
}

void router_process::start_leaving()
{
    m_fleet->start_leaving();
}

void router_process::stop_taking_requests()
{
    m_front.stop_taking_requests();
}

bool router_process::is_fenced() const
{
    return m_budgets.counters().ledger.is_fenced;
}

std::size_t router_process::requests_in_flight() const
{
    return m_answers.in_flight();
}

void router_process::finish(std::chrono::milliseconds limit)
{
    m_server.stop();
    m_runs.shut_down();
    status drained = m_budgets.drain(m_clock.steady_now() + limit);
    if (!drained)
    {
        m_log.write(log_level::warning, log_event::commit_failed,
                    {{"reason", drained.failure().detail}});
    }
    m_editor.stop();
    m_copy_thread.reset();
    m_refresher.reset();
    m_follower->stop();
    m_membership->stop();
    m_peers.stop();
}

logger& router_process::log()
{
    return m_log;
}

void router_process::settle_copies()
{
    constexpr std::chrono::seconds patience{5};
    m_copy_settler.run([this](const std::string& incarnation)
                       { return m_fleet->is_alive(incarnation); },
                       m_clock.steady_now() + patience);
}

std::optional<error> router_process::find_fault() const
{
    if (!m_is_started)
    {
        return error{result_code::router_not_ready, "process",
                     "the router is starting", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    return m_fleet->find_fault();
}

result<std::string>
router_process::handle_peer(const ports::peer_message& message)
{
    using handler =
        result<std::string> (*)(router_process&, const ports::peer_message&);
    struct handler_row
    {
        std::string_view kind;
        handler handle;
    };
    static const std::array<handler_row, 6> table = {{
        {"heartbeat", [](router_process& own, const ports::peer_message& asked)
         { return own.m_membership->handle(asked); }},
        {"configuration",
         [](router_process& own, const ports::peer_message& asked)
         { return own.m_follower->serve(asked.body); }},
        {"evidence", [](router_process& own, const ports::peer_message& asked)
         { return own.m_versions.answer(asked); }},
        {"bill_copy", [](router_process& own, const ports::peer_message& asked)
         { return own.m_copies.handle_message(asked.body); }},
        {"commit",
         [](router_process& own, const ports::peer_message& asked)
         {
             return drivers::handle_commit_message(
                 asked.body, own.m_local_committer,
                 own.m_clock.steady_now() + longest_forward);
         }},
        {"status", [](router_process& own, const ports::peer_message&)
         { return result<std::string>(own.describe()); }},
    }};
    // Peers may call before the parts that answer them are made.
    if (!m_is_started)
    {
        return error{result_code::peer_unavailable, "process",
                     "the router is starting or stopping"};
    }
    for (const handler_row& row : table)
    {
        if (row.kind == message.kind)
        {
            return row.handle(*this, message);
        }
    }
    return error{result_code::peer_protocol, "kind", "unknown kind"};
}

void router_process::apply_configuration()
{
    std::lock_guard<std::mutex> lock(m_apply_mutex);
    std::shared_ptr<const domain::configuration> declared =
        m_follower->current();
    if (declared->version <= m_applied_version)
    {
        return;
    }
    m_applied_version = declared->version;
    m_versions.apply_routes(declared->routes);
    m_front.set_directory(std::make_shared<const caller_directory>(declared));
    m_gauges.set_configuration_version(declared->version);
}

void router_process::apply_moves()
{
    std::lock_guard<std::mutex> lock(m_apply_mutex);
    std::shared_ptr<const drivers::live_move_state_map> moves =
        m_follower->moves();
    for (const auto& [route, stored] : *moves)
    {
        result<domain::move_state> state =
            codecs::decode_move_state(stored.text);
        if (state)
        {
            m_versions.apply_move_state(state.value());
            m_known_moves.insert(route);
        }
    }
    std::erase_if(m_known_moves,
                  [this, &moves](const std::string& route)
                  {
                      bool is_gone = !moves->contains(route);
                      if (is_gone)
                      {
                          m_versions.remove_move(route);
                      }
                      return is_gone;
                  });
}

std::string router_process::describe()
{
    json answer = {{"incarnation", m_incarnation},
                   {"name", m_settings.name},
                   {"vm", m_settings.vm},
                   {"data_centre", m_settings.data_centre},
                   {"configuration_version", m_follower->current()->version},
                   {"requests_in_flight", requests_in_flight()}};
    return answer.dump();
}

} // namespace turmeric::router
