#include "libraries/adapters/system/system_clock.hpp"
#include "standins/common/run_program.hpp"
#include "standins/vm_list/vm_list_server.hpp"

#include <memory>

int main(int argc, char** argv)
{
    using turmeric::adapters::host_port;
    using turmeric::standins::vm_list_server;
    const turmeric::adapters::system_clock clock;
    std::unique_ptr<vm_list_server> server;
    cxxopts::Options options("standin_vm_list",
                             "A stand-in for the platform's VM list");
    options.add_options()("lag-ms",
                          "milliseconds after which readers see a change",
                          cxxopts::value<std::int64_t>()->default_value("0"))(
        "threads", "connections served at the same time",
        cxxopts::value<std::size_t>()->default_value("256"));
    const turmeric::standins::program program{
        [&server, &clock](const host_port& address,
                          const cxxopts::ParseResult& arguments)
        {
            server = std::make_unique<vm_list_server>(
                clock,
                std::chrono::milliseconds(
                    arguments["lag-ms"].as<std::int64_t>()),
                arguments["threads"].as<std::size_t>());
            return server->start(address.host, address.port);
        },
        [&server] { server->shut_down(); }};
    return turmeric::standins::run_program(argc, argv, options, program);
}
