#pragma once

#include "libraries/core/json.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmeric::bench
{

/// The figures of one run of the budget benchmark.
struct budget_figures
{
    domain::tokens overspend_tokens = 0;
    /// Requests whose bill the store applied more than once.
    std::int64_t double_billed = 0;
    std::int64_t delivered_unbilled = 0;
    std::int64_t billed_undelivered = 0;
    std::int64_t requests = 0;
    std::int64_t admitted = 0;
    std::int64_t delivered = 0;
    std::int64_t refused = 0;
    std::int64_t false_refusals = 0;
    std::int64_t undurable_bills = 0;
    std::int64_t platform_reads = 0;
    std::int64_t platform_writes = 0;
    std::int64_t platform_bytes_written = 0;
    std::int64_t max_value_bytes = 0;
    double seconds = 0.0;
    /// Counts by the name of the result code.
    std::map<std::string, std::int64_t> refusals_by_code;
    /// Samples of the granted but unused tokens, as a fraction of the tokens
    /// that are left.
    std::vector<double> stranded_fractions;
    /// Seconds from the end of a response until its bill is durable.
    std::vector<double> durability_s;
    /// Seconds that admitted requests waited for a grant.
    std::vector<double> admission_wait_s;
    /// What the cut-off half of the routers spent in a partition, in percent of
    /// the smaller of its demand and its even share; -1 without a partition.
    double spendable_percent = -1.0;
};

/// Returns the figures as one JSON object. Thread safe.
json to_json(const budget_figures& figures);

} // namespace turmeric::bench
