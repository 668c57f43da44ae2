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
constexpr std::chrono::milliseconds longest_wait{100};

std::vector<std::unique_ptr<caller>> make_callers(const caller_parts& parts,
                                                  std::size_t count)
{
    const double slow = static_cast<double>(count) *
                        parts.options.slow_percent / hundred_percent;
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t number = 0; number < count; ++number)
    {
        const bool is_slow = static_cast<double>(number) < slow;
        callers.push_back(std::make_unique<caller>(parts, number, is_slow));
    }
    return callers;
}

bool is_over(const std::vector<std::unique_ptr<caller>>& callers)
{
    return std::all_of(callers.begin(), callers.end(),
                       [](const std::unique_ptr<caller>& one)
                       { return one->is_done(); });
}

} // namespace

load_outcome run_load(const load_options& options, router_directory& routers)
{
    load_outcome outcome;
    event_loop loop;
    const loop_time begin = std::chrono::steady_clock::now();
    std::int64_t planned = 0;
    const auto next_request = [&options, &planned,
                               begin]() -> std::optional<request_plan>
    {
        const bool is_late =
            std::chrono::steady_clock::now() - begin >= options.duration;
        if (is_late || planned == options.requests)
        {
            return std::nullopt;
        }
        return plan_request(options, planned++);
    };
    const caller_parts parts{options, loop, routers, outcome.report,
                             next_request};
    const std::vector<std::unique_ptr<caller>> callers =
        make_callers(parts, options.concurrency);
    for (const std::unique_ptr<caller>& one : callers)
    {
        one->start(begin);
    }
    while (!is_over(callers))
    {
        loop.run_once(longest_wait);
    }
    outcome.elapsed = std::chrono::steady_clock::now() - begin;
    return outcome;
}

} // namespace turmeric::load
