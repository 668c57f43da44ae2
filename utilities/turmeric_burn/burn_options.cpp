#include "utilities/turmeric_burn/burn_options.hpp"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>

namespace turmeric::burn
{

namespace
{

constexpr std::array<std::string_view, 4> format_names = {"text", "json",
                                                          "html", "rules"};

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "turmeric_burn",
        "Reports service-level burn from the routers' counters. Exit codes: 0 "
        "no alert, 1 ticket, 2 page, 3 no alert but routers are missing, 64 "
        "invalid arguments, 74 a file cannot be read or written.");
    cxxopts::OptionAdder add = options.add_options();
    using text_list = std::vector<std::string>;
    add("routers", "addresses (host:port) to read /metrics from",
        cxxopts::value<text_list>());
    add("locate", "routers to query for /v1/routers",
        cxxopts::value<text_list>());
    add("declarations", "files with route declarations",
        cxxopts::value<text_list>());
    add("accounts", "client accounts to report separately",
        cxxopts::value<text_list>());
    add("history", "file of samples (JSON lines), read and appended to",
        cxxopts::value<std::string>()->default_value(""));
    add("format", "text, json, html or rules",
        cxxopts::value<std::string>()->default_value("text"));
    add("output", "file to write instead of standard output",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "print this text");
    return options;
}

std::vector<std::string> values_of(const cxxopts::ParseResult& arguments,
                                   const std::string& name)
{
    return arguments.count(name) == 0
               ? std::vector<std::string>()
               : arguments[name].as<std::vector<std::string>>();
}

result<burn_options> convert(const cxxopts::ParseResult& arguments)
{
    burn_options options;
    options.shows_help = arguments.count("help") > 0;
    options.routers = values_of(arguments, "routers");
    options.locate = values_of(arguments, "locate");
    options.declarations = values_of(arguments, "declarations");
    const std::vector<std::string> accounts = values_of(arguments, "accounts");
    options.accounts = {accounts.begin(), accounts.end()};
    options.history = arguments["history"].as<std::string>();
    options.output = arguments["output"].as<std::string>();
    const std::string format = arguments["format"].as<std::string>();
    const auto found =
        std::find(format_names.begin(), format_names.end(), format);
    if (found == format_names.end())
    {
        return error{result_code::bad_argument, "format",
                     "expected text, json, html or rules"};
    }
    options.format = static_cast<output_format>(found - format_names.begin());
    const bool has_source = !options.routers.empty() ||
                            !options.locate.empty() || !options.history.empty();
    if (!has_source && !options.shows_help &&
        options.format != output_format::rules)
    {
        return error{result_code::bad_argument, "routers",
                     "expected --routers, --locate or --history"};
    }
    return options;
}

} // namespace

result<burn_options> read_options(int argc, char** argv)
{
    try
    {
        return convert(make_options().parse(argc, argv));
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        return error{result_code::bad_argument, "arguments", failure.what()};
    }
}

std::string help_text()
{
    return make_options().help();
}

} // namespace turmeric::burn
