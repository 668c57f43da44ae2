#include "libraries/domain/burn/burn_calculator.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

namespace
{

using time_point = std::chrono::system_clock::time_point;

/// Target share of moves that finish on time.
constexpr double moves_on_time_target = 0.995;
/// Number of points of a plot, which covers the longest window.
constexpr int plot_points = 72;

std::optional<double> rate_of(const burn_counts& counts, double target)
{
    if (counts.events == 0)
    {
        return std::nullopt;
    }
    const double bad =
        static_cast<double>(counts.bad) / static_cast<double>(counts.events);
    return bad / (1 - target);
}

alert_severity alert_of(const objective_burn& objective)
{
    alert_severity worst = alert_severity::none;
    for (const burn_rule& rule : burn_rules)
    {
        const std::optional<double>& slow =
            objective.windows[rule.long_window].rate;
        const std::optional<double>& fast =
            objective.windows[rule.short_window].rate;
        if (slow && fast && *slow > rule.rate && *fast > rule.rate)
        {
            worst = std::max(worst, rule.severity);
        }
    }
    return worst;
}

burn_counts counts_of(const std::map<burn_key, burn_counts>& all,
                      const burn_key& key)
{
    const auto found = all.find(key);
    return found == all.end() ? burn_counts{} : found->second;
}

} // namespace

burn_calculator::burn_calculator(
    std::map<std::string, objective_declaration> objectives)
    : m_objectives(std::move(objectives))
{
}

objective_declaration
burn_calculator::objective_of(const std::string& route) const
{
    const auto found = m_objectives.find(route);
    return found == m_objectives.end() ? objective_declaration{}
                                       : found->second;
}

double burn_calculator::target_of(const burn_key& key) const
{
    const objective_declaration objective = objective_of(key.route);
    switch (key.kind)
    {
    case objective_kind::availability:
        return objective.availability;
    case objective_kind::first_token:
    case objective_kind::token_gap:
        return objective.latency_share;
    case objective_kind::move_on_time:
        return moves_on_time_target;
    }
    return objective.availability;
}

burn_report burn_calculator::report(const burn_history& history,
                                    time_point now) const
{
    burn_report report;
    report.time = now;
    const std::chrono::seconds longest =
        burn_windows[budget_window_index].length;
    report.covered =
        std::min(longest, std::chrono::duration_cast<std::chrono::seconds>(
                              now - history.oldest_sample_time(now)));
    report.missing_routers = history.missing_routers(now);
    report.restarts = history.restarts(now - longest, now);
    for (const burn_key& key : history.keys())
    {
        objective_burn objective;
        objective.key = key;
        objective.target = target_of(key);
        report.objectives.push_back(std::move(objective));
    }
    for (std::size_t index = 0; index < burn_windows.size(); ++index)
    {
        const std::map<burn_key, burn_counts> all =
            history.counts_within(now - burn_windows[index].length, now);
        for (objective_burn& objective : report.objectives)
        {
            const burn_counts counts = counts_of(all, objective.key);
            objective.windows[index] = {counts,
                                        rate_of(counts, objective.target)};
        }
    }
    for (int number = plot_points - 1; number >= 0; --number)
    {
        const std::chrono::hours span(1);
        const time_point end = now - number * (longest / plot_points);
        const std::map<burn_key, burn_counts> all =
            history.counts_within(end - span, end);
        for (objective_burn& objective : report.objectives)
        {
            objective.points.push_back(
                {end,
                 rate_of(counts_of(all, objective.key), objective.target)});
        }
    }
    for (objective_burn& objective : report.objectives)
    {
        const std::optional<double>& spent =
            objective.windows[budget_window_index].rate;
        objective.budget_left =
            spent ? std::optional<double>(1 - *spent) : std::nullopt;
        objective.alert = alert_of(objective);
        report.alert = std::max(report.alert, objective.alert);
    }
    return report;
}

} // namespace turmeric::domain
