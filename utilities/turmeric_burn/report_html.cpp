#include "utilities/turmeric_burn/report_text.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace turmeric::burn
{

namespace
{

using domain::burn_windows;

constexpr double plot_width = 640;
constexpr double plot_height = 150;
constexpr double plot_left = 44;
constexpr double plot_bottom = 22;
constexpr double plot_top = 8;

constexpr const char* style = R"(
:root{--back:#fff;--text:#1b1f24;--soft:#5b6470;--line:#d5dae0;--plot:#0b62c4;
--bad:#b3261e;--warn:#8a5a00;--good:#1a6b3a}
@media(prefers-color-scheme:dark){:root{--back:#14171a;--text:#e8eaed;
--soft:#a0a8b2;--line:#353b42;--plot:#6fb1ff;--bad:#ff8a80;--warn:#ffc46b;
--good:#7ddc9f}}
body{background:var(--back);color:var(--text);max-width:60rem;margin:2rem auto;
padding:0 1rem;font:16px/1.5 system-ui,sans-serif}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{border-bottom:1px solid var(--line);padding:.35rem .5rem;text-align:right}
th:first-child,td:first-child{text-align:left}
.scroll{overflow-x:auto}.soft{color:var(--soft)}
.page{color:var(--bad);font-weight:600}.ticket{color:var(--warn);font-weight:600}
.none{color:var(--good)}
svg{width:100%;height:auto;display:block}
svg text{fill:var(--soft);font-size:11px}
.curve{fill:none;stroke:var(--plot);stroke-width:1.8}
.dot{fill:var(--plot)}
.grid{stroke:var(--line)}.limit{stroke:var(--bad);stroke-dasharray:4 4}
)";

std::string escaped(const std::string& text)
{
    std::string out;
    for (const char letter : text)
    {
        switch (letter)
        {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += letter;
        }
    }
    return out;
}

std::string title_of(const domain::burn_key& key)
{
    const std::string account =
        key.account.empty() ? "" : " for " + key.account;
    return escaped(
        fmt::format("{}{}: {}", key.route, account, name_of(key.kind)));
}

double x_of(std::size_t index, std::size_t count)
{
    const double fraction =
        count < 2 ? 0
                  : static_cast<double>(index) / static_cast<double>(count - 1);
    return plot_left + fraction * (plot_width - plot_left);
}

/// Returns the y coordinate of a rate. The scale is the square root of the
/// rate, so that a rate of 1 is visible beside one of 100.
double y_of(double rate, double max_rate)
{
    const double fraction = std::sqrt(std::min(rate, max_rate) / max_rate);
    return plot_height - plot_bottom -
           fraction * (plot_height - plot_bottom - plot_top);
}

std::string horizontal_line(double rate, double max_rate, const char* css_class)
{
    const double y = y_of(rate, max_rate);
    return fmt::format(
        "<line class=\"{}\" x1=\"{}\" y1=\"{:.1f}\" x2=\"{}\" y2=\"{:.1f}\"/>"
        "<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{:g}</text>\n",
        css_class, plot_left, y, plot_width, y, plot_left - 6, y + 4, rate);
}

/// Returns the curve as an SVG path with gaps where there were no events.
std::string curve_of(const domain::objective_burn& objective, double max_rate)
{
    std::string path;
    std::string dots;
    bool is_drawing = false;
    for (std::size_t index = 0; index < objective.points.size(); ++index)
    {
        const std::optional<double>& rate = objective.points[index].rate;
        if (!rate)
        {
            is_drawing = false;
            continue;
        }
        const double x = x_of(index, objective.points.size());
        const double y = y_of(*rate, max_rate);
        path += fmt::format("{}{:.1f} {:.1f}", is_drawing ? "L" : "M", x, y);
        dots += fmt::format(
            "<circle class=\"dot\" cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"1.8\"/>", x,
            y);
        is_drawing = true;
    }
    return fmt::format("<path class=\"curve\" d=\"{}\"/>{}\n", path, dots);
}

std::string plot_of(const domain::objective_burn& objective)
{
    const double page_rate = domain::burn_rules.front().rate;
    double max_rate = page_rate;
    for (const domain::burn_point& point : objective.points)
    {
        max_rate = std::max(max_rate, point.rate.value_or(0));
    }
    std::string out = fmt::format(
        "<svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"Burn rate over "
        "the last three days of {}\">\n",
        plot_width, plot_height, title_of(objective.key));
    out += horizontal_line(0, max_rate, "grid");
    out += horizontal_line(1, max_rate, "grid");
    out += horizontal_line(page_rate, max_rate, "limit");
    if (max_rate > 2 * page_rate)
    {
        out += horizontal_line(std::round(max_rate), max_rate, "grid");
    }
    out += curve_of(objective, max_rate);
    constexpr int days = 3;
    for (int day = days; day >= 0; --day)
    {
        const double fraction = 1 - static_cast<double>(day) / days;
        out += fmt::format(
            "<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"{}\">{}</text>\n",
            plot_left + fraction * (plot_width - plot_left), plot_height - 6,
            day == 0 ? "end" : "start",
            day == 0 ? "now" : fmt::format("{} d ago", day));
    }
    return out + "</svg>\n";
}

std::string table_cell(const std::optional<double>& value, double factor,
                       const char* unit)
{
    return value ? fmt::format("<td>{:.2f}{}</td>", factor * *value, unit)
                 : std::string("<td class=\"soft\">no events</td>");
}

std::string table_of(const domain::burn_report& report)
{
    std::string out = "<div class=\"scroll\"><table>\n<tr><th>objective</th>"
                      "<th>target</th>";
    for (const domain::burn_window& window : burn_windows)
    {
        out += fmt::format("<th>{}</th>", window.name);
    }
    out += "<th>budget left</th><th>alert</th></tr>\n";
    for (const domain::objective_burn& objective : report.objectives)
    {
        out += fmt::format("<tr><td>{}</td><td>{:g}%</td>",
                           title_of(objective.key), 100 * objective.target);
        for (const domain::window_burn& window : objective.windows)
        {
            out += table_cell(window.rate, 1, "");
        }
        out += table_cell(objective.budget_left, 100, "%");
        out += fmt::format("<td class=\"{0}\">{0}</td></tr>\n",
                           name_of(objective.alert));
    }
    return out + "</table></div>\n";
}

std::string notes_of(const domain::burn_report& report)
{
    std::string out;
    for (const std::string& router : report.missing_routers)
    {
        out += fmt::format("<p class=\"ticket\">Router {} did not respond; its "
                           "latest events are not in the figures.</p>\n",
                           escaped(router));
    }
    for (const auto& [router, count] : report.restarts)
    {
        out += fmt::format("<p class=\"soft\">Router {} restarted {} times; "
                           "its counts continue across the restarts.</p>\n",
                           escaped(router), count);
    }
    return out;
}

} // namespace

std::string to_html(const domain::burn_report& report)
{
    std::string out = fmt::format(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
        "<meta name=\"viewport\" content=\"width=device-width\">\n"
        "<meta name=\"color-scheme\" content=\"light dark\">\n"
        "<title>Service-level burn</title><style>{}</style></head><body>\n"
        "<h1>Service-level burn</h1>\n"
        "<p>At {:%Y-%m-%d %H:%M:%S} UTC. Samples go back {:.1f} h. Most urgent "
        "alert: <span class=\"{}\">{}</span>.</p>\n",
        style, fmt::gmtime(std::chrono::system_clock::to_time_t(report.time)),
        std::chrono::duration<double, std::ratio<3600>>(report.covered).count(),
        name_of(report.alert), name_of(report.alert));
    out += notes_of(report);
    out +=
        "<p class=\"soft\">A burn rate of 1 spends exactly the error budget; "
        "each column is a window over which it is computed.</p>\n";
    out += table_of(report);
    for (const domain::objective_burn& objective : report.objectives)
    {
        out += fmt::format("<h2>{}</h2>\n<p class=\"soft\">Burn rate over the "
                           "hour before each point; dashed: the rate that "
                           "pages.</p>\n",
                           title_of(objective.key));
        out += plot_of(objective);
    }
    return out + "</body></html>\n";
}

} // namespace turmeric::burn
