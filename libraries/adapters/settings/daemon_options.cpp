#include "libraries/adapters/settings/daemon_options.hpp"

#include "libraries/adapters/settings/settings_file.hpp"

#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>

namespace turmeric::adapters
{

namespace
{

exit_code print_failure(const std::string& program, const error& failure)
{
    // Not fmt::print, which throws if nothing reads standard error any more.
    std::fputs(fmt::format("{}: {} ({}): {}: {}\n", program,
                           static_cast<int>(failure.code),
                           name_of(failure.code), failure.field, failure.detail)
                   .c_str(),
               stderr);
    return exit_code::usage;
}

/// Returns the path of the settings file, or an empty string if none is given.
std::string settings_file_of(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("settings") != 0)
    {
        return parsed["settings"].as<std::string>();
    }
    if (parsed.count("settings-from") == 0)
    {
        return std::string();
    }
    const char* file =
        std::getenv(parsed["settings-from"].as<std::string>().c_str());
    return file == nullptr ? std::string() : std::string(file);
}

} // namespace

std::variant<daemon_options, exit_code>
read_daemon_options(int argc, char** argv, const std::string& program,
                    const std::string& purpose, const json& schema)
{
    cxxopts::Options options(program, purpose);
    options.add_options()("settings", "Settings file (JSON)",
                          cxxopts::value<std::string>(), "FILE")(
        "settings-from", "Environment variable that names the settings file",
        cxxopts::value<std::string>(),
        "NAME")("check-settings", "Check the settings file and exit")(
        "help", "Print this help")("version", "Print the version");
    try
    {
        cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            fmt::print("{}", options.help());
            return exit_code::success;
        }
        if (parsed.count("version") != 0)
        {
            fmt::print("{} {}\n", program, TURMERIC_VERSION);
            return exit_code::success;
        }
        const std::string file = settings_file_of(parsed);
        if (file.empty())
        {
            return print_failure(program,
                                 {result_code::bad_argument, "--settings",
                                  "no settings file is given"});
        }
        result<json> settings = read_settings(file, schema);
        if (!settings)
        {
            return print_failure(program, settings.failure());
        }
        if (parsed.count("check-settings") != 0)
        {
            fmt::print("{}: the settings are valid\n", program);
            return exit_code::success;
        }
        return daemon_options{std::move(settings.value()), file};
    }
    catch (const cxxopts::exceptions::exception& exception)
    {
        return print_failure(program, {result_code::bad_argument,
                                       "command line", exception.what()});
    }
}

json common_settings_properties()
{
    return json::parse(R"({
        "name": {"type": "string", "minLength": 1, "maxLength": 64},
        "vm": {"type": "string", "minLength": 1},
        "data_centre": {"type": "string", "minLength": 1},
        "log": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
                "level": {"enum": ["debug", "info", "warning", "error"]},
                "format": {"enum": ["text", "json"]}
            }
        },
        "platform": {
            "type": "object",
            "additionalProperties": false,
            "required": ["key_value", "vm_list"],
            "properties": {
                "key_value": {
                    "type": "array", "minItems": 1,
                    "items": {"type": "string", "pattern": "^.+:[0-9]+$"}
                },
                "vm_list": {"type": "string", "pattern": "^.+:[0-9]+$"},
                "timeout_ms": {"type": "integer", "minimum": 10}
            }
        }
    })");
}

} // namespace turmeric::adapters
