#include "utilities/turmeric_burn/report_text.hpp"

#include "libraries/codecs/burn/result_classes.hpp"
#include "libraries/core/json.hpp"
#include "libraries/core/metrics/router_metrics.hpp"
#include "libraries/core/metrics/text_format.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <iterator>

namespace turmeric::burn
{

namespace
{

using domain::burn_windows;

std::string rate_text(const std::optional<double>& rate)
{
    return rate ? fmt::format("{:.2f}", *rate) : std::string("-");
}

std::string percent_text(const std::optional<double>& fraction)
{
    constexpr double percent = 100;
    return fraction ? fmt::format("{:.1f}%", percent * *fraction)
                    : std::string("-");
}

std::string time_text(std::chrono::system_clock::time_point time)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

json optional_json(const std::optional<double>& value)
{
    return value ? json(*value) : json(nullptr);
}

json objective_json(const domain::objective_burn& objective)
{
    json windows = json::object();
    for (std::size_t index = 0; index < burn_windows.size(); ++index)
    {
        const domain::window_burn& window = objective.windows[index];
        windows[std::string(burn_windows[index].name)] = {
            {"events", window.counts.events},
            {"bad", window.counts.bad},
            {"burn_rate", optional_json(window.rate)}};
    }
    return {{"route", objective.key.route},
            {"account", objective.key.account},
            {"objective", name_of(objective.key.kind)},
            {"target", objective.target},
            {"windows", windows},
            {"budget_left", optional_json(objective.budget_left)},
            {"alert", name_of(objective.alert)}};
}

/// Returns the PromQL expression of the fraction of failed requests in
/// `window`.
std::string availability_expression(const std::string& route,
                                    std::string_view window)
{
    const std::string caller_error_codes =
        fmt::format("{}", fmt::join(codecs::caller_error_codes(), "|"));
    return fmt::format(
        "sum(rate({0}{{route=\"{1}\",code!~\"ok|{2}\"}}[{3}])) / "
        "sum(rate({0}{{route=\"{1}\",code!~\"{2}\"}}[{3}]))",
        metrics::requests_name, route, caller_error_codes, window);
}

std::string latency_expression(const char* name, const std::string& route,
                               std::chrono::milliseconds limit,
                               std::string_view window)
{
    return fmt::format("1 - sum(rate({0}_bucket{{route=\"{1}\",le=\"{2}\"}}"
                       "[{3}])) / sum(rate({0}_count{{route=\"{1}\"}}[{3}]))",
                       name, route, metrics::format_bound(limit), window);
}

std::string expression_of(const domain::burn_key& key,
                          const domain::objective_declaration& objective,
                          std::string_view window)
{
    switch (key.kind)
    {
    case domain::objective_kind::first_token:
        return latency_expression(metrics::first_token_name, key.route,
                                  objective.first_token, window);
    case domain::objective_kind::token_gap:
        return latency_expression(metrics::token_gap_name, key.route,
                                  objective.token_gap, window);
    default:
        return availability_expression(key.route, window);
    }
}

void append_rule(std::string& out, const domain::burn_key& key,
                 const domain::burn_rule& rule,
                 const domain::burn_calculator& objectives)
{
    const domain::objective_declaration objective =
        objectives.objective_of(key.route);
    const double limit = rule.rate * (1 - objectives.target_of(key));
    const std::string_view slow = burn_windows[rule.long_window].name;
    const std::string_view fast = burn_windows[rule.short_window].name;
    fmt::format_to(std::back_inserter(out),
                   "      - alert: turmeric_burn_{}_{}\n"
                   "        expr: '({} > {:.6g}) and ({} > {:.6g})'\n"
                   "        labels: {{severity: {}, route: \"{}\"}}\n",
                   name_of(key.kind), slow, expression_of(key, objective, slow),
                   limit, expression_of(key, objective, fast), limit,
                   name_of(rule.severity), key.route);
}

} // namespace

std::string to_text(const domain::burn_report& report)
{
    std::string out = fmt::format(
        "Service-level burn at {}, samples over {:.1f} h, alert: {}\n",
        time_text(report.time),
        std::chrono::duration<double, std::ratio<3600>>(report.covered).count(),
        name_of(report.alert));
    for (const std::string& router : report.missing_routers)
    {
        out += fmt::format("missing: {}\n", router);
    }
    for (const auto& [router, count] : report.restarts)
    {
        out += fmt::format("restarted: {} ({} times)\n", router, count);
    }
    out += fmt::format("\n{:<20} {:<12} {:<13} {:>7}", "route", "account",
                       "objective", "target");
    for (const domain::burn_window& window : burn_windows)
    {
        out += fmt::format(" {:>7}", window.name);
    }
    out += fmt::format(" {:>8} {:<6}\n", "left", "alert");
    for (const domain::objective_burn& objective : report.objectives)
    {
        out += fmt::format(
            "{:<20} {:<12} {:<13} {:>7.4g}", objective.key.route,
            objective.key.account.empty() ? "(all)" : objective.key.account,
            name_of(objective.key.kind), objective.target);
        for (const domain::window_burn& window : objective.windows)
        {
            out += fmt::format(" {:>7}", rate_text(window.rate));
        }
        out +=
            fmt::format(" {:>8} {:<6}\n", percent_text(objective.budget_left),
                        name_of(objective.alert));
    }
    return out;
}

std::string to_json_text(const domain::burn_report& report)
{
    json objectives = json::array();
    for (const domain::objective_burn& objective : report.objectives)
    {
        objectives.push_back(objective_json(objective));
    }
    return json{{"time", time_text(report.time)},
                {"covered_seconds", report.covered.count()},
                {"alert", name_of(report.alert)},
                {"missing_routers", report.missing_routers},
                {"restarts", report.restarts},
                {"objectives", objectives}}
               .dump(2) +
           "\n";
}

std::string to_rules(const std::vector<std::string>& routes,
                     const domain::burn_calculator& objectives)
{
    constexpr std::array kinds = {domain::objective_kind::availability,
                                  domain::objective_kind::first_token,
                                  domain::objective_kind::token_gap};
    std::string out = "groups:\n  - name: turmeric_burn\n    rules:\n";
    for (const std::string& route : routes)
    {
        for (const domain::objective_kind kind : kinds)
        {
            for (const domain::burn_rule& rule : domain::burn_rules)
            {
                append_rule(out, {route, "", kind}, rule, objectives);
            }
        }
    }
    return out;
}

} // namespace turmeric::burn
