#include "services/entry/entry_process.hpp"

#include "libraries/domain/membership/incarnation.hpp"
#include "libraries/drivers/exchange/buffered_call.hpp"
#include "platform/documents.hpp"
#include "platform/wire_names.hpp"
#include "services/entry/last_words.hpp"

#include <array>
#include <csignal>
#include <fmt/format.h>
#include <unistd.h>
#include <utility>

namespace turmeric::entry
{

namespace asio = adapters::asio;

namespace
{

constexpr std::chrono::milliseconds log_interval{100};
constexpr std::chrono::milliseconds settings_poll_interval{500};
constexpr std::chrono::milliseconds stop_poll_interval{50};
/// The part of the stop timeout that is reserved for returning tokens to the
/// store and for writing the last log lines.
constexpr std::chrono::milliseconds stop_reserve{400};
constexpr std::chrono::milliseconds return_tokens_timeout{350};
constexpr std::chrono::milliseconds peer_timeout{1'000};
constexpr std::size_t max_configuration_bytes = 8 << 20;
constexpr std::size_t max_internal_connections = 200;
/// What the connections to one of the addresses beside that for callers may
/// hold together; part of what the settings reserve for the program.
constexpr std::int64_t max_internal_memory_bytes = 4 << 20;
/// Peers get the configuration, which may be larger.
constexpr std::int64_t max_peer_memory_bytes =
    max_internal_memory_bytes + max_configuration_bytes;
constexpr std::size_t max_internal_body_bytes = 16 << 10;
constexpr int status_ok = 200;

drivers::document_formats platform_document_formats()
{
    return {std::string(platform::wire::configuration_key),
            std::string(platform::wire::upstream_prefix),
            &platform::read_configuration,
            &platform::read_upstream,
            std::string(platform::wire::operator_prefix),
            std::string(platform::wire::rollout_prefix),
            &platform::read_rollout_order,
            &platform::write_rollout_status,
            std::string(platform::wire::evacuation_prefix),
            &platform::check_evacuation};
}

} // namespace

entry_process::entry_process(entry_settings settings,
                             settings_reader read_settings,
                             std::string settings_file)
    : m_settings(std::move(settings))
    , m_read_settings(std::move(read_settings))
    , m_settings_file(std::move(settings_file))
    , m_log(m_clock, m_settings.min_log_level, m_settings.format, m_settings.vm,
            STDOUT_FILENO)
    , m_metrics(m_registry)
    , m_memory(m_settings.traffic_memory_bytes)
    , m_readiness_memory(max_internal_memory_bytes)
    , m_directory_memory(max_internal_memory_bytes)
    , m_internal_memory(max_peer_memory_bytes)
    , m_platform_store(m_control_pool, m_control_timers, m_clock,
                       m_settings.store_address)
    , m_store(m_platform_store, m_registry)
    , m_dispatcher({m_clock, m_traffic_timers, m_traffic_pool, m_random,
                    m_dialect, m_log, m_metrics, m_digest, &m_memory},
                   m_settings.traffic)
    , m_control({m_store, m_control_timers, m_clock, m_peers, m_link, m_log,
                 [this](const std::string& address,
                        std::function<void(std::string)> done)
                 { request_peer_configuration(address, std::move(done)); }},
                platform_document_formats(),
                {domain::make_incarnation(m_settings.vm, m_random.next()),
                 m_settings.vm, m_settings.data_centre, m_settings.peer_address,
                 m_settings.caller_address, m_settings.capacity},
                m_settings.rollouts)
    , m_caller_server(m_traffic_loop, m_clock, m_dispatcher,
                      {m_settings.caller_address, m_settings.max_connections,
                       &m_memory, &m_dispatcher.link_meter()})
    , m_directory_handler({[this] { return m_control.is_ready(); },
                           [this](const std::string& data_centre)
                           { return m_control.list_entries(data_centre); }})
    , m_internal_handler(m_registry,
                         [this] { return m_control.configuration_text(); })
    , m_readiness_server(m_control_loop, m_clock, m_directory_handler,
                         {m_settings.readiness_address,
                          max_internal_connections, &m_readiness_memory})
    , m_directory_server(m_control_loop, m_clock, m_directory_handler,
                         {m_settings.directory_address,
                          max_internal_connections, &m_directory_memory})
    , m_internal_server(m_control_loop, m_clock, m_internal_handler,
                        {m_settings.peer_address, max_internal_connections,
                         &m_internal_memory})
    , m_signals(m_control_loop, SIGTERM, SIGINT, SIGHUP)
{
    m_link.connect(m_dispatcher, m_caller_server);
    m_traffic_pool.set_meter(m_dispatcher.link_meter());
    m_caller_server.set_write_handler(
        [this](std::chrono::nanoseconds waited)
        {
            m_metrics.write_wait.with_labels({}).record(
                std::chrono::duration_cast<std::chrono::microseconds>(waited));
        });
    m_caller_server.set_close_handler(
        [this](ports::close_reason reason, bool is_in_request)
        {
            m_metrics.connection_closes
                .with_labels({std::string(ports::name_of(reason)),
                              is_in_request ? "yes" : "no"})
                .add();
        });
    domain::caller_limits internal_limits;
    internal_limits.body_bytes = max_internal_body_bytes;
    for (adapters::caller_server* server :
         {&m_readiness_server, &m_directory_server, &m_internal_server})
    {
        server->set_limits(internal_limits);
    }
    m_dispatcher.set_token_demand_handler(
        [this] {
            asio::post(m_control_loop,
                       [this] { m_control.adjust_token_grants(); });
        });
    m_dispatcher.set_suspicion_handler(
        [this]
        { asio::post(m_control_loop, [this] { m_control.report_early(); }); });
    m_dispatcher.set_overload_handler(
        [this](bool is_overloaded)
        {
            m_caller_server.set_keeping(!is_overloaded);
            asio::post(m_control_loop, [this] { m_control.report_early(); });
        });
    m_dispatcher.set_rejection_handler(
        [this] {
            asio::post(m_control_loop,
                       [this] { m_control.report_rejection(); });
        });
}

entry_process::~entry_process()
{
    m_traffic_loop.stop();
    if (m_traffic_thread.joinable())
    {
        m_traffic_thread.join();
    }
}

adapters::buffered_logger& entry_process::log()
{
    return m_log;
}

status entry_process::open()
{
    if (status opened = m_peers.open(m_settings.peer_address); !opened)
    {
        return opened;
    }
    const std::array servers = {&m_caller_server, &m_readiness_server,
                                &m_directory_server, &m_internal_server};
    for (adapters::caller_server* server : servers)
    {
        if (status started = server->start(); !started)
        {
            return started;
        }
    }
    return success();
}

void entry_process::run()
{
    m_log.write(log_level::info, log_event::process_started,
                {{"version", std::string(TURMERIC_VERSION)},
                 {"caller_address", m_settings.caller_address},
                 {"peer_address", m_settings.peer_address},
                 {"store", m_settings.store_address}});
    await_signal();
    m_control.start();
    flush_log();
    watch_settings();
    m_traffic_thread = std::thread(
        [this]
        {
            const signal_stack stack;
            m_traffic_loop.run();
        });
    m_control_loop.run();
    m_log.flush_before_exit();
}

void entry_process::request_peer_configuration(
    const std::string& address, std::function<void(std::string)> done)
{
    ports::outgoing_call call;
    call.address = address;
    call.bytes = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n",
                             configuration_path, address);
    drivers::call_buffered(
        m_control_pool, m_control_timers, m_clock, std::move(call),
        peer_timeout, max_configuration_bytes,
        [done = std::move(done)](drivers::buffered_response response)
        {
            const bool is_complete =
                !response.failure && response.status == status_ok;
            done(is_complete ? std::move(response.body) : std::string());
        });
}

void entry_process::await_signal()
{
    m_signals.async_wait(
        [this](const boost::system::error_code& error, int number)
        {
            if (!error)
            {
                on_signal(number);
            }
        });
}

void entry_process::on_signal(int number)
{
    if (number == SIGHUP)
    {
        m_settings_file.mark_seen();
        reload();
        await_signal();
        return;
    }
    begin_stop();
}

void entry_process::reload()
{
    const std::optional<entry_settings> new_settings = m_read_settings();
    if (!new_settings)
    {
        m_log.write(
            log_level::error, log_event::settings_rejected,
            {{"effect", std::string("the previous settings stay in force")}});
        return;
    }
    m_settings.stop_timeout = new_settings->stop_timeout;
    m_settings.traffic.retries = new_settings->traffic.retries;
    m_log.write(log_level::info, log_event::settings_reloaded,
                {{"retry_ratio", new_settings->traffic.retries.ratio},
                 {"retry_slack", new_settings->traffic.retries.slack},
                 {"stop_ms", static_cast<std::int64_t>(
                                 new_settings->stop_timeout.count())}});
    asio::post(m_traffic_loop,
               [this, traffic = new_settings->traffic]
               {
                   m_dispatcher.set_retry_limits(traffic.retries);
                   m_dispatcher.set_stop_accepting_after(
                       traffic.stop_accepting_after);
               });
}

void entry_process::begin_stop()
{
    m_log.write(log_level::info, log_event::process_stopping, {});
    m_stop_started_at = m_clock.steady_now();
    m_control.leave();
    asio::post(m_traffic_loop,
               [this]
               {
                   m_dispatcher.stop();
                   m_caller_server.disable_keep_alive();
               });
    poll_stop();
}

void entry_process::poll_stop()
{
    m_link.request_digest(
        [this](const drivers::traffic_digest& digest)
        {
            const auto elapsed = m_clock.steady_now() - m_stop_started_at;
            const bool is_time_up =
                elapsed > m_settings.stop_timeout - stop_reserve;
            const bool is_drained = drivers::is_drained(digest);
            if (is_time_up || is_drained)
            {
                if (!is_drained)
                {
                    m_log.write(log_level::warning, log_event::stop_cut_streams,
                                {{"in_flight", digest.in_flight},
                                 {"unwritten", digest.unwritten_responses}});
                }
                finish_stop();
                return;
            }
            m_stop_timer.set(stop_poll_interval, [this] { poll_stop(); });
        });
}

void entry_process::finish_stop()
{
    const auto end = [this]
    {
        m_log.write(log_level::info, log_event::process_stopped, {});
        m_control_loop.stop();
    };
    m_stop_timer.set(return_tokens_timeout, end);
    m_control.return_tokens(
        [this, end]
        {
            m_stop_timer.cancel();
            end();
        });
}

void entry_process::watch_settings()
{
    if (m_settings_file.has_settled_change())
    {
        reload();
    }
    m_settings_timer.set(settings_poll_interval, [this] { watch_settings(); });
}

void entry_process::flush_log()
{
    m_log.flush();
    m_log_timer.set(log_interval, [this] { flush_log(); });
}

} // namespace turmeric::entry
