#include "services/controller/controller_process.hpp"

#include "libraries/adapters/openssl/digests.hpp"

#include <fmt/format.h>
#include <thread>

namespace turmeric::controller
{

namespace
{

constexpr std::size_t generated_key_bytes = 24;
constexpr std::chrono::milliseconds resolve_retry_delay{200};
constexpr std::chrono::milliseconds reclaim_period{10'000};
constexpr std::chrono::milliseconds fleet_period{2'000};
constexpr std::chrono::milliseconds reclaim_timeout{2'000};
constexpr const char* budgets_duty = "budgets";
constexpr const char* moves_duty = "moves";

generated_key generate_key()
{
    generated_key generated;
    generated.key = "tf_" + adapters::random_hex(generated_key_bytes);
    generated.digest = adapters::sha256_hex(generated.key);
    return generated;
}

domain::reclaim_settings
reclaim_settings_of(const controller_settings& settings)
{
    domain::reclaim_settings reclaim;
    reclaim.freeze_time = settings.freeze_time;
    reclaim.clock_skew = settings.clock_skew;
    return reclaim;
}

budget_request_settings budget_settings_of(const controller_settings& settings)
{
    budget_request_settings requests;
    requests.shard_count = settings.budget_shards;
    return requests;
}

result<std::string> reject_peer_message(const ports::peer_message&)
{
    return error{result_code::peer_protocol, "kind",
                 "controllers accept no peer messages"};
}

} // namespace

controller_process::controller_process(const controller_settings& settings)
    : m_settings(settings)
    , m_incarnation(adapters::make_incarnation(settings.name))
    , m_log(m_clock, adapters::parse_log_level(settings.log_level),
            adapters::parse_log_format(settings.log_format), settings.name)
    , m_store(adapters::store_settings_of(settings))
    , m_vms({settings.vm_list_address, settings.platform_timeout,
             settings.platform_timeout})
    , m_peers(m_clock, reject_peer_message)
    , m_fleet(m_store, m_vms, m_clock, {})
    , m_follower(m_store, m_log,
                 {&m_peers, [this] { return m_fleet.peer_addresses(); }}, {})
    , m_writer(m_store, m_incarnation,
               [] { std::this_thread::sleep_for(resolve_retry_delay); })
    , m_editor(m_store, m_clock, m_random)
    , m_reclaimer(m_editor, m_clock, m_log, reclaim_settings_of(settings))
    , m_budget_leader(m_store, m_clock, m_log, duty_settings(budgets_duty))
    , m_configuration_handler(m_writer, generate_key,
                              [this] { (void)m_follower.poll_once(); })
    , m_budget_handler(m_editor, m_writer, m_clock,
                       budget_settings_of(settings))
    , m_status_handler({m_store, m_writer, m_follower, m_fleet, m_peers,
                        [this] { return led_duties(); }})
    , m_service({m_configuration_handler, m_budget_handler, m_status_handler},
                settings.operator_key_digests, m_log)
    , m_server(settings.operator_server,
               [this](const adapters::http_request& request)
               { return handle(request); })
    , m_move_duty({m_store, m_peers, m_clock, m_log,
                   [this] { return m_fleet.peer_addresses(); },
                   [this] { return *m_follower.current(); }},
                  duty_settings(moves_duty))
{
}

controller_process::~controller_process() = default;

result<controller_addresses> controller_process::start()
{
    const result<int> peer_port =
        m_peers.start(m_settings.peer_host, m_settings.peer_port);
    if (!peer_port)
    {
        return peer_port.failure();
    }
    const result<int> operator_port = m_server.start();
    if (!operator_port)
    {
        return operator_port.failure();
    }
    m_follower.start();
    m_budget_leader.start();
    m_budget_duty = std::make_unique<duty_thread>(
        m_budget_leader,
        [this](const drivers::leadership& leader) { reclaim_grants(leader); },
        reclaim_period);
    m_move_duty.start();
    m_fleet_thread = std::make_unique<drivers::control_thread>(
        fleet_period, [this] { refresh_fleet(); });
    return controller_addresses{
        fmt::format("{}:{}", m_settings.operator_server.host,
                    operator_port.value()),
        fmt::format("{}:{}", m_settings.peer_host, peer_port.value())};
}

void controller_process::stop()
{
    m_fleet_thread.reset();
    m_move_duty.stop();
    m_editor.stop();
    m_budget_duty.reset();
    m_budget_leader.stop();
    m_server.stop();
    m_follower.stop();
    m_peers.stop();
}

logger& controller_process::log()
{
    return m_log;
}

adapters::http_response
controller_process::handle(const adapters::http_request& request)
{
    if (operator_service::handles_path(request.path))
    {
        adapters::http_response response = m_service.handle_call(request);
        m_metrics.count_call(request.path, response.status);
        return response;
    }
    if (request.path == "/healthz")
    {
        return adapters::make_json_response(200, "{}");
    }
    if (request.path == "/readyz")
    {
        return show_readiness();
    }
    if (request.path == "/metrics")
    {
        return show_metrics();
    }
    return adapters::make_problem(error{result_code::unknown_method, "path",
                                        "no endpoint has this path"});
}

adapters::http_response controller_process::show_readiness() const
{
    if (m_follower.is_platform_up())
    {
        return adapters::make_json_response(200, "{}");
    }
    return adapters::make_problem(
        error{result_code::platform_unavailable, "platform",
              "the key-value service is unavailable"});
}

adapters::http_response controller_process::show_metrics()
{
    m_metrics.set_configuration_version(m_follower.current()->version);
    m_metrics.set_leading(budgets_duty, m_budget_leader.fencing().has_value());
    m_metrics.set_leading(moves_duty, m_move_duty.is_leading());
    adapters::http_response response;
    response.content_type = metrics::registry::content_type;
    response.body = m_metrics.render();
    return response;
}

void controller_process::refresh_fleet()
{
    // Only a controller that leads a duty reads the members, so that the load
    // on the store does not grow with the number of controllers.
    if (!led_duties().empty())
    {
        (void)m_fleet.refresh();
    }
}

void controller_process::reclaim_grants(const drivers::leadership& leader)
{
    if (!m_fleet.refresh())
    {
        // Without current membership data there is no evidence that an
        // incarnation has ended.
        return;
    }
    const drivers::evidence_of evidence = [this](const std::string& incarnation)
    { return m_fleet.evidence_of(incarnation); };
    for (std::int32_t shard = 0; shard < m_settings.budget_shards; ++shard)
    {
        if (!leader.fencing())
        {
            return;
        }
        const result<drivers::reclaim_counts> counts = m_reclaimer.run(
            shard, evidence, m_clock.steady_now() + reclaim_timeout);
        if (!counts)
        {
            return;
        }
        m_metrics.count_reclaimed("frozen", counts.value().frozen);
        m_metrics.count_reclaimed("closed", counts.value().closed);
    }
}

std::vector<std::string> controller_process::led_duties() const
{
    std::vector<std::string> led;
    if (m_budget_leader.fencing())
    {
        led.emplace_back(budgets_duty);
    }
    if (m_move_duty.is_leading())
    {
        led.emplace_back(moves_duty);
    }
    return led;
}

drivers::leadership_settings
controller_process::duty_settings(const std::string& duty) const
{
    drivers::leadership_settings leadership;
    leadership.duty = duty;
    leadership.holder = m_incarnation;
    leadership.time_to_live = m_settings.lease;
    leadership.renewal_interval =
        std::chrono::milliseconds(m_settings.lease) / 4;
    leadership.safety_margin = std::chrono::milliseconds(m_settings.lease) / 4;
    return leadership;
}

} // namespace turmeric::controller
