#pragma once

#include "libraries/adapters/etcd/etcd_key_value_store.hpp"
#include "libraries/adapters/fmt/fmt_logger.hpp"
#include "libraries/adapters/httplib/http_server.hpp"
#include "libraries/adapters/nghttp2/peer_node.hpp"
#include "libraries/adapters/system/system_clock.hpp"
#include "libraries/adapters/system/system_random.hpp"
#include "libraries/adapters/vm_list/http_vm_list.hpp"
#include "libraries/drivers/budget/grant_reclaimer.hpp"
#include "libraries/drivers/configuration/configuration_follower.hpp"
#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "libraries/drivers/leadership/leadership.hpp"
#include "libraries/drivers/threads/control_thread.hpp"
#include "services/controller/controller_metrics.hpp"
#include "services/controller/controller_settings.hpp"
#include "services/controller/duty_thread.hpp"
#include "services/controller/fleet_monitor.hpp"
#include "services/controller/move_duty.hpp"
#include "services/controller/operator_service.hpp"

#include <memory>
#include <string>
#include <vector>

namespace turmeric::controller
{

/// The addresses that a controller listens on.
struct controller_addresses
{
    std::string operators;
    std::string peer;
};

/// A controller process: serves operators' requests and takes part in the
/// leader election for each duty that only one controller at a time performs.
/// Thread safe after `start`.
class controller_process
{
public:
    /// Constructs the components without connecting to anything.
    explicit controller_process(const controller_settings& settings);
    controller_process(const controller_process&) = delete;
    controller_process& operator=(const controller_process&) = delete;
    ~controller_process();

    /// Listens and starts all threads. Error: `settings_invalid` for an
    /// address that cannot be listened on. Precondition: not started yet.
    result<controller_addresses> start();

    /// Resigns from the duties, completes requests in progress and ends all
    /// threads.
    void stop();

    /// Returns the logger of the process. Thread safe.
    [[nodiscard]] logger& log();

private:
    adapters::http_response handle(const adapters::http_request& request);
    adapters::http_response show_readiness() const;
    adapters::http_response show_metrics();
    void refresh_fleet();
    void reclaim_grants(const drivers::leadership& leader);
    [[nodiscard]] std::vector<std::string> led_duties() const;
    [[nodiscard]] drivers::leadership_settings
    duty_settings(const std::string& duty) const;

    const controller_settings m_settings;
    const std::string m_incarnation;
    adapters::system_clock m_clock;
    adapters::system_random m_random;
    adapters::fmt_logger m_log;
    controller_metrics m_metrics;
    adapters::etcd_key_value_store m_store;
    adapters::http_vm_list m_vms;
    adapters::peer_node m_peers;
    fleet_monitor m_fleet;
    drivers::configuration_follower m_follower;
    drivers::configuration_writer m_writer;
    drivers::shard_editor m_editor;
    drivers::grant_reclaimer m_reclaimer;
    drivers::leadership m_budget_leader;
    configuration_request_handler m_configuration_handler;
    budget_request_handler m_budget_handler;
    status_request_handler m_status_handler;
    operator_service m_service;
    adapters::http_server m_server;
    std::unique_ptr<duty_thread> m_budget_duty;
    move_duty m_move_duty;
    std::unique_ptr<drivers::control_thread> m_fleet_thread;
};

} // namespace turmeric::controller
