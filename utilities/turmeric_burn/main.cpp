#include "libraries/adapters/httplib/http_upstream_caller.hpp"
#include "libraries/adapters/system/system_clock.hpp"
#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "utilities/turmeric_burn/burn_options.hpp"
#include "utilities/turmeric_burn/history_file.hpp"
#include "utilities/turmeric_burn/report_text.hpp"
#include "utilities/turmeric_burn/scraper.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace
{

using namespace turmeric;

constexpr int exit_no_alert = 0;
constexpr int exit_ticket = 1;
constexpr int exit_page = 2;
constexpr int exit_missing = 3;
constexpr int exit_usage = 64;
constexpr int exit_file = 74;

int print_error(const error& failure, int code)
{
    fmt::print(stderr, "{} {}: {}: {}\n", static_cast<int>(failure.code),
               name_of(failure.code), failure.field, failure.detail);
    return code;
}

/// Reads the declarations of a file, which holds one object or an array.
status read_declarations(const std::string& path, domain::configuration& into)
{
    std::ifstream in(path);
    if (!in)
    {
        return error{result_code::settings_unreadable, path,
                     "the file cannot be read"};
    }
    const std::string text{std::istreambuf_iterator<char>(in),
                           std::istreambuf_iterator<char>()};
    result<json> parsed =
        codecs::parse_json(text, result_code::settings_malformed, path);
    if (!parsed)
    {
        return parsed.failure();
    }
    json list = parsed.value();
    if (!list.is_array())
    {
        list = json::array({parsed.value()});
    }
    for (std::size_t index = 0; index < list.size(); ++index)
    {
        status read = codecs::decode_declaration(
            list[index], fmt::format("{}[{}]", path, index), into);
        if (!read)
        {
            return read;
        }
    }
    return success();
}

int exit_code_of(const domain::burn_report& report)
{
    switch (report.alert)
    {
    case domain::alert_severity::page:
        return exit_page;
    case domain::alert_severity::ticket:
        return exit_ticket;
    case domain::alert_severity::none:
        break;
    }
    return report.missing_routers.empty() ? exit_no_alert : exit_missing;
}

status write_output(const std::string& path, const std::string& text)
{
    if (path.empty())
    {
        fmt::print("{}", text);
        return success();
    }
    std::ofstream out(path, std::ios::binary);
    out << text;
    out.flush();
    if (!out)
    {
        return error{result_code::settings_unreadable, path,
                     "the report cannot be written"};
    }
    return success();
}

std::string render(const domain::burn_report& report,
                   burn::output_format format)
{
    switch (format)
    {
    case burn::output_format::json:
        return burn::to_json_text(report);
    case burn::output_format::html:
        return burn::to_html(report);
    default:
        return burn::to_text(report);
    }
}

/// Returns the routers to read: those of --routers, and with --locate those
/// that the located fleet lists and those in the history. If no router can
/// list the fleet, the routers of --locate themselves are read.
std::vector<std::string>
routers_to_read(const burn::burn_options& options, burn::scraper& scraper,
                const std::vector<domain::burn_sample>& past_samples)
{
    std::set<std::string> names(options.routers.begin(), options.routers.end());
    if (!options.locate.empty())
    {
        const result<std::vector<std::string>> located =
            scraper.locate(options.locate);
        if (located)
        {
            names.insert(located.value().begin(), located.value().end());
        }
        else
        {
            print_error(located.failure(), exit_missing);
            names.insert(options.locate.begin(), options.locate.end());
        }
        for (const domain::burn_sample& sample : past_samples)
        {
            names.insert(sample.router);
        }
    }
    return {names.begin(), names.end()};
}

int run(const burn::burn_options& options)
{
    domain::configuration declared;
    for (const std::string& path : options.declarations)
    {
        const status read = read_declarations(path, declared);
        if (!read)
        {
            return print_error(read.failure(), exit_file);
        }
    }
    std::map<std::string, domain::objective_declaration> objectives;
    std::vector<std::string> routes;
    for (const domain::route_declaration& route : declared.routes)
    {
        objectives[route.name] = route.objective;
        routes.push_back(route.name);
    }
    const domain::burn_calculator calculator(objectives);
    if (options.format == burn::output_format::rules)
    {
        const status written =
            write_output(options.output, burn::to_rules(routes, calculator));
        return written ? exit_no_alert
                       : print_error(written.failure(), exit_file);
    }
    const adapters::system_clock clock;
    const ports::system_time now = clock.system_now();
    const burn::history_file file(options.history);
    result<std::vector<domain::burn_sample>> past_samples = file.read(
        now - 2 * domain::burn_windows[domain::budget_window_index].length);
    if (!past_samples)
    {
        return print_error(past_samples.failure(), exit_file);
    }
    constexpr std::chrono::milliseconds connect_timeout{2'000};
    adapters::http_upstream_caller caller(connect_timeout, 1);
    burn::scraper scraper(caller, calculator, options.accounts);
    const std::vector<domain::burn_sample> new_samples = scraper.read(
        routers_to_read(options, scraper, past_samples.value()), now);
    const status appended = file.append(new_samples);
    if (!appended)
    {
        return print_error(appended.failure(), exit_file);
    }
    domain::burn_history history;
    for (const domain::burn_sample& sample : past_samples.value())
    {
        history.add(sample);
    }
    for (const domain::burn_sample& sample : new_samples)
    {
        history.add(sample);
    }
    const domain::burn_report report = calculator.report(history, now);
    const status written =
        write_output(options.output, render(report, options.format));
    return written ? exit_code_of(report)
                   : print_error(written.failure(), exit_file);
}

} // namespace

int main(int argc, char** argv)
{
    const result<burn::burn_options> options = burn::read_options(argc, argv);
    if (!options)
    {
        return print_error(options.failure(), exit_usage);
    }
    if (options.value().shows_help)
    {
        fmt::print("{}\n", burn::help_text());
        return exit_no_alert;
    }
    return run(options.value());
}
