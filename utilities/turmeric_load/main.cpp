#include "utilities/turmeric_load/load_run.hpp"

#include <fmt/core.h>

#include <csignal>
#include <cstdio>

namespace
{

using turmeric::result;
using turmeric::load::load_options;
using turmeric::load::load_outcome;
using turmeric::load::router_directory;

/// Exit codes, listed in docs/load.md.
enum class exit_code
{
    success = 0,
    broken_response = 1,
    bad_argument = 2,
    no_router = 3,
};

exit_code run(const load_options& options)
{
    router_directory routers(options);
    if (!routers.start())
    {
        fmt::print(stderr, "no target returned the address of a router\n");
        return exit_code::no_router;
    }
    const load_outcome outcome = run_load(options, routers);
    fmt::print("{}", options.is_json
                         ? outcome.report.to_json(outcome.elapsed).dump() + "\n"
                         : outcome.report.to_text(outcome.elapsed));
    return outcome.report.has_no_broken_response() ? exit_code::success
                                                   : exit_code::broken_response;
}

exit_code run_command_line(int argc, char** argv)
{
    cxxopts::Options command("turmeric_load",
                             "Sends requests and checks the responses");
    turmeric::load::add_load_options(command);
    try
    {
        const cxxopts::ParseResult arguments = command.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            fmt::print("{}", command.help());
            return exit_code::success;
        }
        if (arguments.count("version") > 0)
        {
            fmt::print("turmeric_load {}\n", TURMERIC_VERSION);
            return exit_code::success;
        }
        const result<load_options> options =
            turmeric::load::read_load_options(arguments);
        if (!options)
        {
            fmt::print(stderr, "--{}: {}\n", options.failure().field,
                       options.failure().detail);
            return exit_code::bad_argument;
        }
        return run(options.value());
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        fmt::print(stderr, "{}\n", failure.what());
        return exit_code::bad_argument;
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return static_cast<int>(run_command_line(argc, argv));
}
