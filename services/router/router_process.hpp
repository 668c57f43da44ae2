#pragma once

#include "libraries/adapters/etcd/etcd_key_value_store.hpp"
#include "libraries/adapters/fmt/fmt_logger.hpp"
#include "libraries/adapters/httplib/http_server.hpp"
#include "libraries/adapters/httplib/http_upstream_caller.hpp"
#include "libraries/adapters/nghttp2/peer_node.hpp"
#include "libraries/adapters/system/system_clock.hpp"
#include "libraries/adapters/system/system_random.hpp"
#include "libraries/adapters/vm_list/http_vm_list.hpp"
#include "libraries/drivers/budget/bill_copy_settler.hpp"
#include "libraries/drivers/budget/budget_service.hpp"
#include "libraries/drivers/budget/peer_bill_replicator.hpp"
#include "libraries/drivers/budget/peer_committer.hpp"
#include "libraries/drivers/configuration/configuration_follower.hpp"
#include "libraries/drivers/membership/membership_service.hpp"
#include "libraries/drivers/move/version_guard.hpp"
#include "libraries/drivers/platform/counted_key_value_store.hpp"
#include "services/router/budget_ledger.hpp"
#include "services/router/caller_frontend.hpp"
#include "services/router/fleet_coordinator.hpp"
#include "services/router/request_recorder.hpp"
#include "services/router/router_gauges.hpp"
#include "services/router/router_settings.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace turmeric::router
{

/// The addresses that a router listens on.
struct router_addresses
{
    std::string caller;
    std::string peer;
};

/// A router process: constructs and connects its components. Not thread safe,
/// except where stated.
class router_process
{
public:
    /// Constructs the components without starting them.
    explicit router_process(const router_settings& settings);

    ~router_process();

    /// Starts to listen, joins the fleet and accepts callers. Error:
    /// `settings_invalid`. Not thread safe.
    result<router_addresses> start();

    /// Removes this router from locate responses. Callers that still arrive are
    /// served. Not thread safe.
    void start_leaving();

    /// Refuses all later requests. Not thread safe.
    void stop_accepting_requests();

    /// Returns true if a controller closed this router's grants. The router can
    /// no longer bill and must be restarted. Thread safe.
    [[nodiscard]] bool is_fenced() const;

    /// Returns the number of requests that have not ended. Thread safe.
    [[nodiscard]] std::size_t requests_in_flight() const;

    /// Closes connections, makes bills durable, returns grants and leaves the
    /// fleet, in this order. `limit` bounds the wait for bills and grants.
    /// Precondition: no request is in flight, or those that are may be aborted.
    /// Not thread safe.
    void finish(std::chrono::milliseconds limit);

    /// Returns the logger of the process. Thread safe.
    logger& log();

private:
    void make_peers();
    result<std::string> handle_peer(const ports::peer_message& message);
    void apply_configuration();
    void apply_moves();
    std::string format_status();
    [[nodiscard]] std::optional<error> find_readiness_error() const;
    void settle_bill_copies();

    const router_settings m_settings;
    const std::string m_incarnation;
    adapters::system_clock m_clock;
    adapters::system_random m_random;
    adapters::fmt_logger m_log;
    metrics::registry m_metrics;
    metrics::router_metrics m_shared_metrics;
    request_recorder m_request_recorder;
    adapters::etcd_key_value_store m_etcd;
    drivers::counted_key_value_store m_store;
    adapters::http_vm_list m_vms;
    adapters::http_upstream_caller m_upstreams;
    adapters::peer_node m_peers;
    const drivers::budget_settings m_budget_settings;
    domain::rate_share_policy m_grant_policy;
    drivers::store_committer m_local_committer;
    drivers::peer_committer m_committer;
    drivers::peer_bill_replicator m_replicator;
    drivers::bill_copy_store m_bill_copies;
    drivers::shard_editor m_editor;
    drivers::bill_copy_settler m_bill_copy_settler;
    drivers::budget_service m_budgets;
    budget_ledger m_ledger;
    drivers::version_guard m_versions;
    drivers::traffic_control m_traffic;
    drivers::response_cache m_responses;
    drivers::request_runner m_runner;
    router_gauges m_gauges;
    drivers::thread_pool m_request_threads;
    caller_frontend m_frontend;
    adapters::http_server m_server;
    std::unique_ptr<drivers::configuration_follower> m_follower;
    std::unique_ptr<drivers::membership_service> m_membership;
    std::unique_ptr<fleet_coordinator> m_fleet_coordinator;
    // False until all components exist, as callers and peers may connect
    // earlier.
    std::atomic<bool> m_is_started{false};
    std::mutex m_apply_mutex;
    std::set<std::string> m_applied_moves;
    std::int64_t m_applied_version = 0;
    std::unique_ptr<drivers::control_thread> m_fleet_thread;
    std::unique_ptr<drivers::control_thread> m_bill_copy_thread;
};

} // namespace turmeric::router
