#include "standins/common/run_program.hpp"
#include "standins/service/service_server.hpp"

#include <memory>

int main(int argc, char** argv)
{
    using turmeric::adapters::host_port;
    using turmeric::standins::service_server;
    std::unique_ptr<service_server> server;
    cxxopts::Options options("standin_service",
                             "A stand-in for a plain service");
    options.add_options()("threads", "connections served at the same time",
                          cxxopts::value<std::size_t>()->default_value("512"))(
        "upstream-id",
        "respond as the upstream of the users' platform with this id",
        cxxopts::value<std::string>()->default_value(""));
    const turmeric::standins::program program{
        [&server](const host_port& address,
                  const cxxopts::ParseResult& arguments)
        {
            server = std::make_unique<service_server>(
                arguments["threads"].as<std::size_t>());
            server->act_as_platform_upstream(
                arguments["upstream-id"].as<std::string>());
            return server->start(address.host, address.port);
        },
        [&server] { server->shut_down(); }};
    return turmeric::standins::run_program(argc, argv, options, program);
}
