#include "utilities/turmeric_load/load_run.hpp"

#include "utilities/turmeric_load/caller.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace turmeric::load
{

namespace
{

constexpr double hundred_percent = 100.0;
constexpr std::chrono::milliseconds max_poll_wait{100};

std::vector<std::unique_ptr<caller>>
make_callers(const caller_dependencies& dependencies, std::size_t count)
{
    const double slow_count = static_cast<double>(count) *
                              dependencies.options.slow_percent /
                              hundred_percent;
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t number = 0; number < count; ++number)
    {
        const bool is_slow = static_cast<double>(number) < slow_count;
        callers.push_back(
            std::make_unique<caller>(dependencies, number, is_slow));
    }
    return callers;
}

bool are_all_done(const std::vector<std::unique_ptr<caller>>& callers)
{
    return std::all_of(callers.begin(), callers.end(),
                       [](const std::unique_ptr<caller>& each)
                       { return each->is_done(); });
}

} // namespace

load_outcome run_load(const load_options& options, router_directory& routers)
{
    load_outcome outcome;
    event_loop loop;
    const loop_time started_at = std::chrono::steady_clock::now();
    std::int64_t planned_requests = 0;
    const auto next_request = [&options, &planned_requests,
                               started_at]() -> std::optional<request_plan>
    {
        const bool is_time_up =
            std::chrono::steady_clock::now() - started_at >= options.duration;
        if (is_time_up || planned_requests == options.requests)
        {
            return std::nullopt;
        }
        return plan_request(options, planned_requests++);
    };
    const caller_dependencies dependencies{options, loop, routers,
                                           outcome.report, next_request};
    const std::vector<std::unique_ptr<caller>> callers =
        make_callers(dependencies, options.concurrency);
    for (const std::unique_ptr<caller>& each : callers)
    {
        each->start(started_at);
    }
    while (!are_all_done(callers))
    {
        loop.run_once(max_poll_wait);
    }
    outcome.elapsed = std::chrono::steady_clock::now() - started_at;
    return outcome;
}

} // namespace turmeric::load
