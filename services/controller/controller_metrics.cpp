#include "services/controller/controller_metrics.hpp"

namespace turmeric::controller
{

namespace
{

constexpr std::size_t max_call_series = 128;
constexpr std::size_t max_duty_series = 8;

} // namespace

controller_metrics::controller_metrics()
    : m_calls(m_registry.make<metrics::counter>(
          {"turmeric_operator_calls_total",
           "Operators' requests by path and response status.",
           {"path", "status"},
           max_call_series,
           {}}))
    , m_leading(m_registry.make<metrics::gauge>(
          {"turmeric_leading",
           "1 while this controller leads the duty.",
           {"duty"},
           max_duty_series,
           {}}))
    , m_version(m_registry.make<metrics::gauge>(
          {"turmeric_configuration_version",
           "Version of the configuration in force.",
           {},
           1,
           {}}))
    , m_reclaimed(m_registry.make<metrics::counter>(
          {"turmeric_reclaimed_grants_total",
           "Grants of ended incarnations that were frozen or closed.",
           {"step"},
           max_duty_series,
           {}}))
{
}

void controller_metrics::count_call(const std::string& path, int status)
{
    m_calls.with_labels({path, std::to_string(status)}).add();
}

void controller_metrics::set_leading(const std::string& duty, bool is_leading)
{
    m_leading.with_labels({duty}).set(is_leading ? 1 : 0);
}

void controller_metrics::set_configuration_version(std::int64_t version)
{
    m_version.with_labels({}).set(version);
}

void controller_metrics::count_reclaimed(std::string_view step,
                                         std::int64_t amount)
{
    m_reclaimed.with_labels({std::string(step)})
        .add(static_cast<std::uint64_t>(amount));
}

std::string controller_metrics::render() const
{
    return m_registry.render();
}

} // namespace turmeric::controller
