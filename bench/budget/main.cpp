#include "bench/budget/simulation.hpp"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <exception>

namespace
{

using turmeric::bench::bench_options;

cxxopts::Options describe()
{
    cxxopts::Options options("bench_budget",
                             "Measures budgets with a grant policy and faults; "
                             "prints one JSON object");
    options.add_options()(
        "policy",
        "escrow, write_per_request, fixed_split, "
        "sole_owner, expiry_only, transfers",
        cxxopts::value<std::string>()->default_value("escrow"))(
        "faults",
        "none, crash, pause, outage, lost_replies, partition, "
        "top_up_partition, chaos",
        cxxopts::value<std::string>()->default_value("none"))(
        "routers", "", cxxopts::value<int>()->default_value("6"))(
        "accounts", "", cxxopts::value<int>()->default_value("10"))(
        "shards", "", cxxopts::value<int>()->default_value("64"))(
        "routers-per-account", "routers that one account uses; 0 means all",
        cxxopts::value<int>()->default_value("0"))(
        "skew", "fraction of the requests from the busiest account",
        cxxopts::value<double>()->default_value("0.4"))(
        "rate", "requests per second",
        cxxopts::value<double>()->default_value("60"))(
        "budget-seconds", "size of a budget in seconds of spending",
        cxxopts::value<double>()->default_value("3600"))(
        "budget-left", "percent of each budget left at the start",
        cxxopts::value<double>()->default_value("100"))(
        "duration", "seconds", cxxopts::value<int>()->default_value("120"))(
        "tick", "milliseconds", cxxopts::value<int>()->default_value("5"))(
        "horizon", "seconds of spending that a grant covers",
        cxxopts::value<int>()->default_value("4500"))(
        "commit-interval", "milliseconds",
        cxxopts::value<int>()->default_value("100"))(
        "commit", "forward (one committer a shard) or direct",
        cxxopts::value<std::string>()->default_value("forward"))(
        "platform-calls", "limit per second for all processes together",
        cxxopts::value<double>()->default_value("280"))(
        "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                                         "");
    return options;
}

bench_options read(const cxxopts::ParseResult& parsed)
{
    bench_options options;
    options.policy = parsed["policy"].as<std::string>();
    options.fault = parsed["faults"].as<std::string>();
    options.routers = parsed["routers"].as<int>();
    options.accounts = parsed["accounts"].as<int>();
    options.shards = parsed["shards"].as<int>();
    options.routers_per_account = parsed["routers-per-account"].as<int>();
    options.skew = parsed["skew"].as<double>();
    options.requests_per_second = parsed["rate"].as<double>();
    options.budget_seconds = parsed["budget-seconds"].as<double>();
    options.budget_left_percent = parsed["budget-left"].as<double>();
    options.duration = std::chrono::seconds(parsed["duration"].as<int>());
    options.tick = std::chrono::milliseconds(parsed["tick"].as<int>());
    options.horizon = std::chrono::seconds(parsed["horizon"].as<int>());
    options.commit_interval =
        std::chrono::milliseconds(parsed["commit-interval"].as<int>());
    options.is_forwarding = parsed["commit"].as<std::string>() == "forward";
    options.platform_writes_per_second = parsed["platform-calls"].as<double>();
    options.seed = parsed["seed"].as<std::uint64_t>();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options = describe();
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            fmt::print("{}\n", options.help());
            return 0;
        }
        turmeric::bench::simulation simulation(read(parsed));
        fmt::print("{}\n", turmeric::bench::to_json(simulation.run()).dump(2));
        return 0;
    }
    catch (const std::exception& failure)
    {
        fmt::print(stderr, "bench_budget: {}\n", failure.what());
        return 2;
    }
}
