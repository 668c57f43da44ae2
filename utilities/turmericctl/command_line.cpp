#include "utilities/turmericctl/command_line.hpp"

#include "utilities/turmericctl/explain_command.hpp"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>

namespace turmeric::ctl
{

namespace
{

constexpr const char* commands_help = R"(
Commands:
  diff -f DIR               print what apply would change
  apply -f DIR              put the declarations in DIR in force
  export [-o DIR]           write the declarations in force
  top-up ACCOUNT BUDGET TOKENS [--id ID]
                            add tokens to a budget, only once for each id
  budgets [ACCOUNT]         print balances
  key create ACCOUNT        create a key; it is shown only once
  moves                     print version moves
  status                    print the version in force on each router
  drain --upstream NAME | --vm NAME [--undo]
                            take out of service, or return to service
  explain REQUEST-ID LOG... print one request's log records in time order
)";

cxxopts::Options make_options()
{
    cxxopts::Options options("turmericctl", "Operates a turmericfront fleet.");
    options.positional_help("COMMAND [ARGUMENT...]");
    options.add_options()("controllers",
                          "host:port of controllers, comma-separated "
                          "(TURMERIC_CONTROLLERS)",
                          cxxopts::value<std::vector<std::string>>())(
        "key-file", "File with the operator's key (TURMERIC_OPERATOR_KEY)",
        cxxopts::value<std::string>())("ca", "Certificates to trust",
                                       cxxopts::value<std::string>())(
        "timeout-ms", "Timeout for a reply in milliseconds",
        cxxopts::value<int>()->default_value("15000"))(
        "f", "Folder of declarations", cxxopts::value<std::string>())(
        "o", "Folder to write", cxxopts::value<std::string>())(
        "complete", "Remove objects that the folder does not declare")(
        "base", "Configuration version that the change is based on",
        cxxopts::value<std::int64_t>())("id", "Id of the top-up",
                                        cxxopts::value<std::string>())(
        "upstream", "Upstream to drain", cxxopts::value<std::string>())(
        "vm", "VM to drain", cxxopts::value<std::string>())(
        "undo", "Return to service")("json", "Print replies as JSON")(
        "help", "Print this help")("version", "Print the version")(
        "command", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command"});
    return options;
}

std::string environment_variable(const char* name)
{
    const char* value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? "" : value;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size())
    {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, comma - start));
        start = comma + 1;
    }
    return parts;
}

std::string value_of(const cxxopts::ParseResult& parsed, const char* name)
{
    return parsed.count(name) == 0 ? "" : parsed[name].as<std::string>();
}

exit_status fail_usage(const std::string& detail)
{
    fmt::print(stderr, "turmericctl: {}\n", detail);
    return exit_status::usage;
}

std::string read_key(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("key-file") == 0)
    {
        return environment_variable("TURMERIC_OPERATOR_KEY");
    }
    std::ifstream file(parsed["key-file"].as<std::string>());
    std::string key;
    file >> key;
    return key;
}

client_settings read_client_settings(const cxxopts::ParseResult& parsed)
{
    client_settings settings;
    settings.controllers =
        parsed.count("controllers") == 0
            ? split(environment_variable("TURMERIC_CONTROLLERS"))
            : parsed["controllers"].as<std::vector<std::string>>();
    settings.key = read_key(parsed);
    settings.certificates = value_of(parsed, "ca");
    settings.timeout =
        std::chrono::milliseconds(parsed["timeout-ms"].as<int>());
    return settings;
}

std::variant<command_line, exit_status>
convert_arguments(const cxxopts::ParseResult& parsed)
{
    command_line line;
    if (parsed.count("command") == 0)
    {
        return fail_usage("expected a command; see --help");
    }
    line.arguments = parsed["command"].as<std::vector<std::string>>();
    line.command = line.arguments.front();
    line.arguments.erase(line.arguments.begin());
    line.client = read_client_settings(parsed);
    const bool needs_controller = line.command != explain_command_name;
    if (needs_controller && line.client.controllers.empty())
    {
        return fail_usage("--controllers: expected host:port of a controller");
    }
    if (needs_controller && line.client.key.empty())
    {
        return fail_usage(
            "--key-file: expected a file with the operator's key");
    }
    line.folder = value_of(parsed, "f");
    line.output_folder = value_of(parsed, "o");
    line.id = value_of(parsed, "id");
    line.upstream = value_of(parsed, "upstream");
    line.vm = value_of(parsed, "vm");
    line.is_complete = parsed.count("complete") != 0;
    line.is_undone = parsed.count("undo") != 0;
    line.is_json = parsed.count("json") != 0;
    if (parsed.count("base") != 0)
    {
        line.base_version = parsed["base"].as<std::int64_t>();
    }
    return line;
}

} // namespace

std::variant<command_line, exit_status> read_command_line(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    try
    {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            fmt::print("{}{}", options.help(), commands_help);
            return exit_status::done;
        }
        if (parsed.count("version") != 0)
        {
            fmt::print("turmericctl {}\n", TURMERIC_VERSION);
            return exit_status::done;
        }
        return convert_arguments(parsed);
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        return fail_usage(failure.what());
    }
}

} // namespace turmeric::ctl
