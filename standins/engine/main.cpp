#include "libraries/adapters/system/system_clock.hpp"
#include "standins/common/run_program.hpp"
#include "standins/engine/engine_server.hpp"

#include <memory>
#include <string>
#include <vector>

namespace
{

using turmeric::adapters::host_port;
using turmeric::standins::engine_server;
using turmeric::standins::engine_server_options;

engine_server_options read_options(const cxxopts::ParseResult& arguments)
{
    using microseconds = std::chrono::microseconds;
    using milliseconds = std::chrono::milliseconds;
    engine_server_options options;
    options.threads = arguments["threads"].as<std::size_t>();
    const std::vector<std::string> versions =
        arguments["versions"].as<std::vector<std::string>>();
    options.versions = {versions.begin(), versions.end()};
    options.enforces_fencing = arguments.count("heeds-fencing") > 0;
    options.engine.cache_blocks = arguments["cache-blocks"].as<std::size_t>();
    options.engine.report_lag =
        milliseconds(arguments["report-lag-ms"].as<std::int64_t>());
    turmeric::standins::batch_options& batch = options.engine.batch;
    batch.capacity = arguments["capacity"].as<std::size_t>();
    batch.collapse_at = arguments["collapse-at"].as<std::size_t>();
    batch.step = microseconds(arguments["step-us"].as<std::int64_t>());
    batch.step_per_request =
        microseconds(arguments["step-per-request-us"].as<std::int64_t>());
    batch.prefill_per_token =
        microseconds(arguments["prefill-us-per-token"].as<std::int64_t>());
    batch.recovery = milliseconds(arguments["recovery-ms"].as<std::int64_t>());
    return options;
}

void add_options(cxxopts::Options& options)
{
    const auto number = [](const char* value)
    { return cxxopts::value<std::int64_t>()->default_value(value); };
    const auto size = [](const char* value)
    { return cxxopts::value<std::size_t>()->default_value(value); };
    options.add_options()(
        "threads", "maximum number of connections served at the same time",
        size("1200"))(
        "versions", "versions served, such as a,b",
        cxxopts::value<std::vector<std::string>>()->default_value("v1"))(
        "heeds-fencing", "refuse orders with an outdated fencing number")(
        "capacity", "maximum number of requests that run at the same time",
        size("64"))(
        "collapse-at",
        "requests beyond which steps slow down; crashes at 1.5 times, 0: never",
        size("0"))("recovery-ms",
                   "time for which it refuses requests after a crash",
                   number("3000"))(
        "step-us",
        "duration of a step, in which each running request gets a token",
        number("20000"))("step-per-request-us",
                         "time that each running request adds to a step",
                         number("50"))(
        "prefill-us-per-token", "time for each prompt token that is not cached",
        number("40"))("cache-blocks", "prefix cache size in 16-token blocks",
                      size("4096"))("report-lag-ms",
                                    "delay after which /metrics shows the load",
                                    number("0"));
}

} // namespace

int main(int argc, char** argv)
{
    const turmeric::adapters::system_clock clock;
    std::unique_ptr<engine_server> server;
    cxxopts::Options options("standin_engine", "A stand-in for a model engine");
    add_options(options);
    const turmeric::standins::program program{
        [&server, &clock](const host_port& address,
                          const cxxopts::ParseResult& arguments)
        {
            server =
                std::make_unique<engine_server>(clock, read_options(arguments));
            return server->start(address.host, address.port);
        },
        [&server] { server->shut_down(); }};
    return turmeric::standins::run_program(argc, argv, options, program);
}
