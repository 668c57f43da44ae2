#include "bench/moves/move_run.hpp"
#include "bench/moves/move_summary.hpp"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <string>

namespace
{

using turmeric::bench::move_scenario;
using turmeric::bench::move_summary;
using turmeric::bench::traffic_profile;
using turmeric::bench::version_kind;

constexpr int exit_success = 0;
constexpr int exit_usage = 2;

/// The profile `users` has 4 requests/s in total on 2 routes; `letter` has
/// 4,000 requests/s in total on 15 routes. The rates below are those of one
/// route.
constexpr std::array<traffic_profile, 2> profiles = {
    traffic_profile{"users", 2, 6, std::chrono::hours(4),
                    std::chrono::minutes(20)},
    traffic_profile{"letter", 267, 330, std::chrono::minutes(20),
                    std::chrono::minutes(2)}};

/// The moves of one round. The last three stand for one version that moves on
/// three routes and is bad on one of them.
constexpr std::array<version_kind, 15> kinds_in_round = {
    version_kind::good,           version_kind::good,
    version_kind::good,           version_kind::good,
    version_kind::good,           version_kind::good,
    version_kind::bad_at_once,    version_kind::bad_at_once,
    version_kind::bad_later,      version_kind::bad_in_soak,
    version_kind::bad_under_load, version_kind::bad_under_load,
    version_kind::good,           version_kind::good,
    version_kind::bad_at_once};

cxxopts::Options make_options()
{
    cxxopts::Options options("bench_moves",
                             "Runs seeded version moves and prints their "
                             "outcomes as JSON.");
    cxxopts::OptionAdder add = options.add_options();
    add("traffic", "users or letter",
        cxxopts::value<std::string>()->default_value("users"));
    add("policy", "sequential, threshold or schedule",
        cxxopts::value<std::string>()->default_value("sequential"));
    add("seed", "seed of the first round",
        cxxopts::value<std::uint64_t>()->default_value("20261204"));
    add("rounds", "rounds of 15 moves",
        cxxopts::value<int>()->default_value("20"));
    add("trace", "print each move on standard error");
    add("help", "print this text");
    return options;
}

void run_round(const traffic_profile& profile, const std::string& policy,
               std::uint64_t seed, bool has_trace, move_summary& summary)
{
    std::mt19937_64 random(seed);
    for (const version_kind kind : kinds_in_round)
    {
        const move_scenario scenario =
            turmeric::bench::draw_scenario(kind, profile, random);
        turmeric::bench::move_run run(scenario, profile, policy, random());
        const turmeric::bench::move_outcome outcome = run.run();
        summary.add(outcome);
        if (has_trace)
        {
            fmt::print(stderr,
                       "{} {} finished={} reason={} bad_requests={} of {} "
                       "after_evidence={} failure_rate={:.2f} "
                       "first_token_factor={:.1f} token_gap_factor={:.1f} "
                       "max_tolerated_fraction={:.2f}\n",
                       seed, name_of(kind), outcome.is_finished_in_time,
                       outcome.reason, outcome.bad_requests, outcome.requests,
                       outcome.after_evidence_requests,
                       scenario.defect.failure_rate,
                       scenario.defect.first_token_factor,
                       scenario.defect.token_gap_factor,
                       scenario.max_tolerated_fraction);
        }
    }
}

int run(const cxxopts::ParseResult& arguments)
{
    const std::string traffic = arguments["traffic"].as<std::string>();
    const std::string policy = arguments["policy"].as<std::string>();
    const auto profile =
        std::find_if(profiles.begin(), profiles.end(),
                     [&traffic](const traffic_profile& candidate)
                     { return candidate.name == traffic; });
    if (profile == profiles.end() ||
        turmeric::bench::make_policy(policy, 1) == nullptr)
    {
        fmt::print(stderr, "unknown traffic or policy\n");
        return exit_usage;
    }
    const std::uint64_t seed = arguments["seed"].as<std::uint64_t>();
    const int rounds = arguments["rounds"].as<int>();
    move_summary summary;
    for (int round = 0; round < rounds; ++round)
    {
        run_round(*profile, policy, seed + static_cast<std::uint64_t>(round),
                  arguments.count("trace") > 0, summary);
    }
    turmeric::json out = summary.to_json();
    out["traffic"] = traffic;
    out["policy"] = policy;
    out["seed"] = seed;
    out["rounds"] = rounds;
    fmt::print("{}\n", out.dump(2));
    return exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    try
    {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            fmt::print("{}\n", options.help());
            return exit_success;
        }
        return run(arguments);
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        fmt::print(stderr, "{}\n", failure.what());
        return exit_usage;
    }
}
