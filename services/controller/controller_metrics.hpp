#pragma once

#include "libraries/core/metrics/registry.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::controller
{

/// The metrics of a controller. Thread safe.
class controller_metrics
{
public:
    /// Registers the metric families.
    controller_metrics();

    /// Counts an operator's request by its path and HTTP status. Thread safe.
    void count_call(const std::string& path, int status);

    /// Sets whether this controller leads a duty. Thread safe.
    void set_leading(const std::string& duty, bool is_leading);

    /// Sets the version of the configuration in force at this controller.
    /// Thread safe.
    void set_configuration_version(std::int64_t version);

    /// Adds `amount` grants to the count of `step`, "frozen" or "closed".
    /// Thread safe.
    void count_reclaimed(std::string_view step, std::int64_t amount);

    /// Returns all metrics in the Prometheus text format. Thread safe.
    [[nodiscard]] std::string render() const;

private:
    metrics::registry m_registry;
    metrics::family<metrics::counter>& m_calls;
    metrics::family<metrics::gauge>& m_leading;
    metrics::family<metrics::gauge>& m_version;
    metrics::family<metrics::counter>& m_reclaimed;
};

} // namespace turmeric::controller
