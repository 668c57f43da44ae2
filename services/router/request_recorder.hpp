#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/core/metrics/router_metrics.hpp"
#include "libraries/drivers/requests/request_observer.hpp"

namespace turmeric::router
{

/// Records metrics of requests, and logs one line for each request that ends.
/// Thread safe.
class request_recorder final : public drivers::request_observer
{
public:
    /// Adds the metric families that are not in `shared` to `registry`.
    /// Precondition: the references outlive this object.
    request_recorder(metrics::registry& registry,
                     metrics::router_metrics& shared, logger& log);

    /// See `drivers::request_observer`. Thread safe.
    void on_end(const drivers::request_context& request,
                const drivers::request_summary& summary) override;

    /// See `drivers::request_observer`. Thread safe.
    void on_retry(const drivers::request_context& request, const error& failure,
                  std::int64_t offset) override;

    /// See `drivers::request_observer`. Thread safe.
    void on_park(const drivers::request_context& request) override;

private:
    void count(const drivers::request_context& request,
               const drivers::request_summary& summary);
    void log_end(const drivers::request_context& request,
                 const drivers::request_summary& summary);

    logger& m_log;
    metrics::router_metrics& m_shared;
    metrics::family<metrics::counter>& m_retry_counts;
    metrics::family<metrics::counter>& m_parked_count;
};

} // namespace turmeric::router
