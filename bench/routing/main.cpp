// Measures the queueing and the cache hits of a routing policy; prints JSON.

#include "bench/routing/routing_run.hpp"
#include "libraries/core/json.hpp"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <cstdio>

namespace
{

using turmeric::json;
using turmeric::bench::routing_figures;
using turmeric::bench::workload_settings;

json to_json(const routing_figures& figures)
{
    return json{
        {"requests", figures.requests},
        {"queueing_p50_ms", figures.queueing_p50_ms},
        {"queueing_p95_ms", figures.queueing_p95_ms},
        {"queueing_p99_ms", figures.queueing_p99_ms},
        {"first_token_p95_ms", figures.first_token_p95_ms},
        {"cache_hit_percent", figures.cache_hit_percent},
        {"refused_percent", figures.refused_percent},
        {"peak_held_percent", figures.peak_held_percent},
        {"over_capacity_percent", figures.over_capacity_percent},
        {"cpu_ns_per_decision", figures.cpu_ns_per_decision},
    };
}

cxxopts::Options make_options()
{
    cxxopts::Options options("bench_routing",
                             "Measures routing policies on fake upstreams.");
    options.add_options()(
        "policy",
        "shares, round_robin, random, least_loaded or "
        "two_choices",
        cxxopts::value<std::string>()->default_value("shares"))(
        "routers", "count", cxxopts::value<std::size_t>()->default_value("6"))(
        "upstreams", "count",
        cxxopts::value<std::size_t>()->default_value("9"))(
        "capacity", "requests that an upstream runs at a time",
        cxxopts::value<std::int32_t>()->default_value("64"))(
        "rate", "requests per second",
        cxxopts::value<double>()->default_value("41"))(
        "lag", "milliseconds until a load report arrives",
        cxxopts::value<double>()->default_value("5000"))(
        "warm-up", "seconds", cxxopts::value<double>()->default_value("60"))(
        "measure", "seconds", cxxopts::value<double>()->default_value("60"))(
        "seed", "number",
        cxxopts::value<std::uint64_t>()->default_value("20261204"))(
        "help", "print this");
    return options;
}

int measure(const cxxopts::ParseResult& given)
{
    constexpr double ms_per_second = 1000;
    workload_settings settings;
    settings.routers = given["routers"].as<std::size_t>();
    settings.upstreams = given["upstreams"].as<std::size_t>();
    settings.capacity = given["capacity"].as<std::int32_t>();
    settings.requests_per_second = given["rate"].as<double>();
    settings.seed = given["seed"].as<std::uint64_t>();
    std::string policy = given["policy"].as<std::string>();
    double lag_ms = given["lag"].as<double>();
    turmeric::bench::routing_run run(settings, policy, lag_ms);
    json printed =
        to_json(run.run(given["warm-up"].as<double>() * ms_per_second,
                        given["measure"].as<double>() * ms_per_second));
    printed["policy"] = policy;
    printed["routers"] = settings.routers;
    printed["upstreams"] = settings.upstreams;
    printed["capacity"] = settings.capacity;
    printed["requests_per_second"] = settings.requests_per_second;
    printed["report_lag_ms"] = lag_ms;
    printed["seed"] = settings.seed;
    fmt::print("{}\n", printed.dump());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options = make_options();
        cxxopts::ParseResult given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            fmt::print("{}\n", options.help());
            return 0;
        }
        return measure(given);
    }
    catch (const std::exception& failure)
    {
        fmt::print(stderr, "bench_routing: {}\n", failure.what());
        return 2;
    }
}
