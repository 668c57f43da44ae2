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
constexpr std::chrono::milliseconds bill_copy_interval{2'000};
constexpr std::size_t max_idle_upstream_connections = 64;
// The objectives that alert rules may use as histogram bounds.
constexpr std::chrono::milliseconds first_token_objective{370};
constexpr std::chrono::milliseconds token_gap_objective{40};
// If the remote committer does not respond within this time, the batch is
// committed locally.
constexpr std::chrono::milliseconds max_commit_call_timeout{1'500};

drivers::budget_settings budget_settings_of(const router_settings& settings)
{
    drivers::budget_settings budget;
    budget.ledger.shard_count = settings.budget_shards;
    budget.ledger.grant_term = settings.grant_term;
    budget.ledger.clock_skew = settings.clock_skew;
    budget.committer.shard_count = settings.budget_shards;
    budget.committer.writer.write_interval = settings.write_interval;
    // Shorter than the write interval, so that a batch is ready just before
    // the committer's next write.
    budget.commit_interval = settings.write_interval * 4 / 5;
    return budget;
}

} // namespace

router_process::router_process(const router_settings& settings)
    : m_settings(settings)
    , m_incarnation(adapters::make_incarnation(settings.name))
    , m_log(m_clock, adapters::parse_log_level(settings.log_level),
            adapters::parse_log_format(settings.log_format), settings.name)
    , m_shared_metrics(m_metrics, {first_token_objective},
                       {token_gap_objective})
    , m_request_recorder(m_metrics, m_shared_metrics, m_log)
    , m_etcd(adapters::store_settings_of(settings))
    , m_store(m_etcd, m_shared_metrics.platform_calls)
    , m_vms({settings.vm_list_address, settings.connect_timeout,
             settings.platform_timeout})
    , m_upstreams(settings.connect_timeout, max_idle_upstream_connections)
    , m_peers(m_clock, [this](const ports::peer_message& message)
              { return handle_peer(message); })
    , m_budget_settings(budget_settings_of(settings))
    , m_grant_policy(m_budget_settings.grants)
    , m_local_committer(m_store, m_clock, m_random, m_log,
                        m_budget_settings.committer, m_grant_policy)
    , m_committer(
          m_peers, m_local_committer, m_clock,
          [this](std::int32_t shard) {
              return m_is_started ? m_fleet_coordinator->find_committer(shard)
                                  : "";
          },
          max_commit_call_timeout)
    , m_replicator(
          m_peers, m_clock,
          [this]
          {
              return m_is_started ? m_fleet_coordinator->bill_copy_peers()
                                  : std::vector<std::string>();
          },
          settings.budget_shards)
    , m_bill_copies({}, m_clock)
    , m_editor(m_store, m_clock, m_random)
    , m_bill_copy_settler(m_bill_copies, m_editor, m_clock, m_log)
    , m_budgets(
          {m_store, m_clock, m_random, m_log, &m_committer, &m_replicator},
          m_budget_settings, m_incarnation)
    , m_ledger(m_budgets, m_clock,
               {settings.hold_timeout, settings.bill_timeout})
    , m_versions({}, m_incarnation, m_clock, m_log)
    , m_traffic(settings.traffic, m_clock, m_random, m_log)
    , m_responses(settings.responses, m_clock)
    , m_runner({m_traffic, m_versions, m_ledger, m_upstreams,
                m_request_recorder, m_clock, settings.data_centre},
               settings.slow_reader)
    , m_gauges(m_metrics, m_shared_metrics, m_traffic, m_responses, m_budgets,
               m_local_committer)
    , m_request_threads(settings.caller_server.max_connections)
    , m_frontend({m_responses, m_runner, m_request_threads, m_request_recorder,
                  m_metrics, m_clock,
                  [this](const std::string& account) {
                      return m_is_started ? m_fleet_coordinator->locate(account)
                                          : "{}";
                  },
                  [this] { m_gauges.refresh(); },
                  [this] { return find_readiness_error(); },
                  settings.bytes_per_token})
    , m_server(settings.caller_server,
               [this](const adapters::http_request& request)
               { return m_frontend.handle(request); })
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
        drivers::follower_peers{
            &m_peers, [this] { return m_fleet_coordinator->peer_addresses(); }},
        drivers::follower_timing());
    m_fleet_coordinator = std::make_unique<fleet_coordinator>(
        fleet_coordinator_dependencies{*m_membership, *m_follower, m_traffic,
                                       m_responses},
        router_identity{m_incarnation, m_settings.vm, m_settings.data_centre,
                        m_settings.seed_peers});
    m_follower->set_listener(
        [this]
        {
            apply_configuration();
            apply_moves();
        });
    auto start_time = std::chrono::duration_cast<std::chrono::seconds>(
        self.started.time_since_epoch());
    m_shared_metrics.start_time.with_labels({}).set(start_time.count());
    m_membership->start();
    m_follower->start();
    m_fleet_thread = std::make_unique<drivers::control_thread>(
        refresh_interval, [this] { m_fleet_coordinator->refresh(); });
    m_bill_copy_thread = std::make_unique<drivers::control_thread>(
        bill_copy_interval, [this] { settle_bill_copies(); });
    m_is_started = true;
    return addresses;
}

void router_process::start_leaving()
{
    m_fleet_coordinator->start_leaving();
}

void router_process::stop_accepting_requests()
{
    m_frontend.stop_accepting_requests();
}

bool router_process::is_fenced() const
{
    return m_budgets.counters().ledger.is_fenced;
}

std::size_t router_process::requests_in_flight() const
{
    return m_responses.in_flight();
}

void router_process::finish(std::chrono::milliseconds limit)
{
    m_server.stop();
    m_request_threads.shut_down();
    status drain_result = m_budgets.drain(m_clock.steady_now() + limit);
    if (!drain_result)
    {
        m_log.write(log_level::warning, log_event::commit_failed,
                    {{"reason", drain_result.failure().detail}});
    }
    m_editor.stop();
    m_bill_copy_thread.reset();
    m_fleet_thread.reset();
    m_follower->stop();
    m_membership->stop();
    m_peers.stop();
}

logger& router_process::log()
{
    return m_log;
}

void router_process::settle_bill_copies()
{
    constexpr std::chrono::seconds timeout{5};
    m_bill_copy_settler.run(
        [this](const std::string& incarnation)
        { return m_fleet_coordinator->is_alive(incarnation); },
        m_clock.steady_now() + timeout);
}

std::optional<error> router_process::find_readiness_error() const
{
    if (!m_is_started)
    {
        return error{result_code::router_not_ready, "process",
                     "the router is starting", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    return m_fleet_coordinator->find_readiness_error();
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
        {"heartbeat",
         [](router_process& router, const ports::peer_message& request)
         { return router.m_membership->handle(request); }},
        {"configuration",
         [](router_process& router, const ports::peer_message& request)
         { return router.m_follower->serve(request.body); }},
        {"evidence",
         [](router_process& router, const ports::peer_message& request)
         { return router.m_versions.handle_message(request); }},
        {"bill_copy",
         [](router_process& router, const ports::peer_message& request)
         { return router.m_bill_copies.handle_message(request.body); }},
        {"commit",
         [](router_process& router, const ports::peer_message& request)
         {
             return drivers::handle_commit_message(
                 request.body, router.m_local_committer,
                 router.m_clock.steady_now() + max_commit_call_timeout);
         }},
        {"status", [](router_process& router, const ports::peer_message&)
         { return result<std::string>(router.format_status()); }},
    }};
    // Peers may call before the components that handle their messages exist.
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
    return error{result_code::peer_protocol, "kind", "unknown message kind"};
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
    m_frontend.set_index(std::make_shared<const configuration_index>(declared));
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
            m_applied_moves.insert(route);
        }
    }
    std::erase_if(m_applied_moves,
                  [this, &moves](const std::string& route)
                  {
                      bool is_removed = !moves->contains(route);
                      if (is_removed)
                      {
                          m_versions.remove_move(route);
                      }
                      return is_removed;
                  });
}

std::string router_process::format_status()
{
    json status = {{"incarnation", m_incarnation},
                   {"name", m_settings.name},
                   {"vm", m_settings.vm},
                   {"data_centre", m_settings.data_centre},
                   {"configuration_version", m_follower->current()->version},
                   {"requests_in_flight", requests_in_flight()}};
    return status.dump();
}

} // namespace turmeric::router
