#include "libraries/codecs/burn/burn_reader.hpp"

#include "libraries/codecs/burn/result_classes.hpp"
#include "libraries/core/metrics/router_metrics.hpp"
#include "libraries/core/metrics/text_format.hpp"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <tuple>

namespace turmeric::codecs
{

namespace
{

using domain::burn_counts;
using domain::objective_kind;

std::string label_of(const metrics_line& line, const std::string& name)
{
    const auto found = line.labels.find(name);
    return found == line.labels.end() ? std::string() : found->second;
}

/// Adds event counts to the totals of a route and, for the selected accounts,
/// to the totals of the account on that route.
class burn_accumulator
{
public:
    burn_accumulator(domain::burn_sample& sample,
                     const std::set<std::string>& accounts)
        : m_sample(sample)
        , m_accounts(accounts)
    {
    }

    void add(const metrics_line& line, objective_kind kind,
             const burn_counts& counts)
    {
        const std::string route = label_of(line, "route");
        const std::string account = label_of(line, "account");
        m_sample.counts[{route, "", kind}] += counts;
        if (!account.empty() && m_accounts.contains(account))
        {
            m_sample.counts[{route, account, kind}] += counts;
        }
    }

private:
    domain::burn_sample& m_sample;
    const std::set<std::string>& m_accounts;
};

void add_request(burn_accumulator& accumulator, const metrics_line& line)
{
    const auto count = static_cast<std::int64_t>(line.value);
    const result_class classification = result_class_of(label_of(line, "code"));
    if (classification != result_class::caller_error)
    {
        accumulator.add(
            line, objective_kind::availability,
            {count, classification == result_class::bad ? count : 0});
    }
}

void add_move(burn_accumulator& accumulator, const metrics_line& line)
{
    const auto count = static_cast<std::int64_t>(line.value);
    const std::string outcome = label_of(line, "outcome");
    if (outcome == "on_time" || outcome == "late")
    {
        accumulator.add(line, objective_kind::move_on_time,
                        {count, outcome == "late" ? count : 0});
    }
}

/// Finds for each histogram how many observations are within the objective.
class histogram_reader
{
public:
    /// Reads one bucket of a histogram.
    void add_bucket(const metrics_line& line, objective_kind kind,
                    std::chrono::milliseconds objective)
    {
        metrics_line series = line;
        const std::string text = label_of(line, "le");
        series.labels.erase("le");
        histogram& histogram_counts = m_histograms[{kind, series.labels}];
        histogram_counts.line = series;
        if (text == "+Inf")
        {
            histogram_counts.total = line.value;
            return;
        }
        // Bound and objective are parsed from the same text format, so that
        // equal values compare as equal.
        const double bound = std::strtod(text.c_str(), nullptr);
        const double limit =
            std::strtod(metrics::format_bound(objective).c_str(), nullptr);
        // Bucket counts are cumulative, so the largest count with a bound
        // within the objective is the number of observations within the
        // objective.
        if (bound <= limit)
        {
            histogram_counts.within_objective =
                std::max(histogram_counts.within_objective, line.value);
        }
    }

    /// Adds the event counts of all histograms.
    void add_counts_to(burn_accumulator& accumulator) const
    {
        for (const auto& [key, histogram_counts] : m_histograms)
        {
            accumulator.add(
                histogram_counts.line, std::get<0>(key),
                {static_cast<std::int64_t>(histogram_counts.total),
                 static_cast<std::int64_t>(histogram_counts.total -
                                           histogram_counts.within_objective)});
        }
    }

private:
    struct histogram
    {
        metrics_line line;
        double within_objective = 0;
        double total = 0;
    };

    std::map<std::pair<objective_kind, std::map<std::string, std::string>>,
             histogram>
        m_histograms;
};

} // namespace

domain::burn_sample read_burn_sample(const std::vector<metrics_line>& lines,
                                     const domain::burn_calculator& objectives,
                                     const std::set<std::string>& accounts)
{
    const std::string first_token =
        std::string(metrics::first_token_name) + "_bucket";
    const std::string token_gap =
        std::string(metrics::token_gap_name) + "_bucket";
    domain::burn_sample sample;
    burn_accumulator accumulator(sample, accounts);
    histogram_reader histograms;
    for (const metrics_line& line : lines)
    {
        const domain::objective_declaration objective =
            objectives.objective_of(label_of(line, "route"));
        if (line.name == metrics::requests_name)
        {
            add_request(accumulator, line);
        }
        else if (line.name == first_token)
        {
            histograms.add_bucket(line, objective_kind::first_token,
                                  objective.first_token);
        }
        else if (line.name == token_gap)
        {
            histograms.add_bucket(line, objective_kind::token_gap,
                                  objective.token_gap);
        }
        else if (line.name == metrics::moves_name)
        {
            add_move(accumulator, line);
        }
        else if (line.name == metrics::start_time_name)
        {
            sample.start_s = static_cast<std::int64_t>(line.value);
        }
    }
    histograms.add_counts_to(accumulator);
    return sample;
}

} // namespace turmeric::codecs
