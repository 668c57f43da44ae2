#pragma once

#include "libraries/core/metrics/router_metrics.hpp"
#include "libraries/drivers/budget/budget_service.hpp"
#include "libraries/drivers/responses/response_cache.hpp"
#include "libraries/drivers/traffic/traffic_control.hpp"

namespace turmeric::router
{

/// Gauges for the state of the router's components. Thread safe.
class router_gauges
{
public:
    /// Adds the gauges to `registry`. Precondition: the references outlive this
    /// object.
    router_gauges(metrics::registry& registry, metrics::router_metrics& shared,
                  drivers::traffic_control& traffic,
                  drivers::response_cache& responses,
                  drivers::budget_service& budgets,
                  drivers::store_committer& committer);

    /// Sets the gauges to the components' current state. Thread safe; blocks
    /// for a short time.
    void refresh();

    /// Sets the version of the configuration in force. Thread safe.
    void set_configuration_version(std::int64_t version);

private:
    static metrics::gauge& make_gauge(metrics::registry& registry,
                                      const std::string& name,
                                      const std::string& help);

    drivers::traffic_control& m_traffic;
    drivers::response_cache& m_responses;
    drivers::budget_service& m_budgets;
    drivers::store_committer& m_committer;
    metrics::gauge& m_queue_depth;
    metrics::gauge& m_queue_bytes;
    metrics::gauge& m_slots;
    metrics::gauge& m_in_flight;
    metrics::gauge& m_slow_reader_bytes;
    metrics::gauge& m_granted;
    metrics::gauge& m_held;
    metrics::gauge& m_pending_bills;
    metrics::gauge& m_configuration_version;
    metrics::family<metrics::gauge>& m_ledger_calls;
};

} // namespace turmeric::router
