#include "libraries/adapters/system/system_clock.hpp"
#include "standins/common/run_program.hpp"
#include "standins/key_value/key_value_server.hpp"

#include <memory>

namespace
{

using turmeric::adapters::host_port;
using turmeric::standins::key_value_server;
using turmeric::standins::key_value_server_options;

key_value_server_options read_options(const cxxopts::ParseResult& arguments)
{
    key_value_server_options options;
    options.threads = arguments["threads"].as<std::size_t>();
    options.max_history_events = arguments["history"].as<std::size_t>();
    if (arguments.count("write-rate") > 0)
    {
        options.faults.write_rate = arguments["write-rate"].as<double>();
    }
    if (arguments.count("read-rate") > 0)
    {
        options.faults.read_rate = arguments["read-rate"].as<double>();
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    const turmeric::adapters::system_clock clock;
    std::unique_ptr<key_value_server> server;
    cxxopts::Options options(
        "standin_key_value",
        "A stand-in for the platform's key-value service (etcd v3 gateway)");
    options.add_options()("threads", "connections served at the same time",
                          cxxopts::value<std::size_t>()->default_value("512"))(
        "history", "changes kept for watches that start at an earlier revision",
        cxxopts::value<std::size_t>()->default_value("100000"))(
        "write-rate", "writes allowed per second", cxxopts::value<double>())(
        "read-rate", "reads allowed per second", cxxopts::value<double>());
    const turmeric::standins::program program{
        [&server, &clock](const host_port& address,
                          const cxxopts::ParseResult& arguments)
        {
            server = std::make_unique<key_value_server>(
                clock, read_options(arguments));
            return server->start(address.host, address.port);
        },
        [&server] { server->shut_down(); }};
    return turmeric::standins::run_program(argc, argv, options, program);
}
