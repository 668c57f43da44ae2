#include "bench/budget/budget_figures.hpp"

#include <algorithm>
#include <numeric>

namespace turmeric::bench
{

namespace
{

constexpr double percent = 100.0;
constexpr double milliseconds = 1000.0;

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
    {
        return 0.0;
    }
    const std::size_t index = static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

double mean(const std::vector<double>& values)
{
    if (values.empty())
    {
        return 0.0;
    }
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(values.size());
}

} // namespace

json to_json(const budget_figures& figures)
{
    const double admissible = static_cast<double>(
        std::max<std::int64_t>(figures.admitted + figures.false_refusals, 1));
    json value;
    value["overspend_tokens"] = figures.overspend_tokens;
    value["double_billed"] = figures.double_billed;
    value["delivered_unbilled"] = figures.delivered_unbilled;
    value["billed_undelivered"] = figures.billed_undelivered;
    value["false_refusals_percent"] =
        percent * static_cast<double>(figures.false_refusals) / admissible;
    value["stranded_percent"] = percent * mean(figures.stranded_fractions);
    value["platform_writes_per_s"] =
        static_cast<double>(figures.platform_writes) / figures.seconds;
    value["platform_reads_per_s"] =
        static_cast<double>(figures.platform_reads) / figures.seconds;
    value["platform_bytes_per_s"] =
        static_cast<double>(figures.platform_bytes_written) / figures.seconds;
    value["largest_value_bytes"] = figures.max_value_bytes;
    value["requests"] = figures.requests;
    value["admitted"] = figures.admitted;
    value["delivered"] = figures.delivered;
    value["refused"] = figures.refused;
    value["false_refusals"] = figures.false_refusals;
    value["refusals"] = figures.refusals_by_code;
    value["undurable"] = figures.undurable_bills;
    value["spendable_percent"] = figures.spendable_percent;
    value["durability_p50_ms"] =
        milliseconds * quantile(figures.durability_s, 0.50);
    value["durability_p95_ms"] =
        milliseconds * quantile(figures.durability_s, 0.95);
    value["admission_p50_ms"] =
        milliseconds * quantile(figures.admission_wait_s, 0.50);
    value["admission_p95_ms"] =
        milliseconds * quantile(figures.admission_wait_s, 0.95);
    return value;
}

} // namespace turmeric::bench
