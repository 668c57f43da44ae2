#pragma once

#include "libraries/adapters/etcd/host_port.hpp"
#include "libraries/core/json.hpp"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>

namespace turmeric::standins
{

/// Exit codes of the stand-ins.
enum class exit_code
{
    success = 0,
    failure = 1,
    usage = 2,
};

/// The callbacks that start and stop a stand-in.
struct program
{
    /// Starts the server on `address`. Returns the bound port, or nothing on
    /// failure.
    std::function<std::optional<int>(const adapters::host_port& address,
                                     const cxxopts::ParseResult& arguments)>
        start;
    /// Stops the server and waits for its threads.
    std::function<void()> stop;
};

/// Blocks SIGINT and SIGTERM, so that one thread can wait for them, and
/// ignores SIGPIPE. Precondition: no other thread runs yet.
inline sigset_t block_termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Starts `stand_in`, prints the bound address as a line of JSON and stops the
/// stand-in on SIGINT or SIGTERM.
inline exit_code serve_until_signal(const program& stand_in,
                                    const cxxopts::ParseResult& arguments)
{
    const std::string listen = arguments["listen"].as<std::string>();
    const std::optional<adapters::host_port> address =
        adapters::parse_host_port(listen);
    if (!address)
    {
        fmt::print(stderr, "--listen: \"{}\" is not HOST:PORT\n", listen);
        return exit_code::usage;
    }
    const sigset_t signals = block_termination_signals();
    const std::optional<int> port = stand_in.start(*address, arguments);
    if (!port)
    {
        fmt::print(stderr, "--listen: cannot listen on {}\n", listen);
        return exit_code::failure;
    }
    const json listening_line = {
        {"listening", fmt::format("{}:{}", address->host, *port)}};
    fmt::print("{}\n", listening_line.dump());
    std::fflush(stdout);
    int received_signal = 0;
    sigwait(&signals, &received_signal);
    stand_in.stop();
    return exit_code::success;
}

/// Adds the options that all stand-ins share, parses the command line and
/// runs `stand_in` until SIGINT or SIGTERM. Returns the exit code.
inline int run_program(int argc, char** argv, cxxopts::Options& options,
                       const program& stand_in)
{
    options.add_options()(
        "listen", "address to listen on, port 0 selects a free port",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "help", "print this help")("version", "print the version");
    try
    {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            fmt::print("{}", options.help());
            return static_cast<int>(exit_code::success);
        }
        if (arguments.count("version") > 0)
        {
            fmt::print("{} {}\n", options.program(), TURMERIC_VERSION);
            return static_cast<int>(exit_code::success);
        }
        if (!arguments.unmatched().empty())
        {
            fmt::print(stderr, "unknown argument \"{}\"\n",
                       arguments.unmatched().front());
            return static_cast<int>(exit_code::usage);
        }
        return static_cast<int>(serve_until_signal(stand_in, arguments));
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        fmt::print(stderr, "{}\n", failure.what());
        return static_cast<int>(exit_code::usage);
    }
}

} // namespace turmeric::standins
