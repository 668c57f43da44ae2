#pragma once

#include "utilities/turmeric_load/load_options.hpp"
#include "utilities/turmeric_load/load_report.hpp"
#include "utilities/turmeric_load/router_directory.hpp"

#include <chrono>

namespace turmeric::load
{

/// The outcome of a run.
struct load_outcome
{
    load_report report;
    std::chrono::nanoseconds elapsed{0};
};

/// Runs all callers on this thread. Requests start until the number or the
/// duration in `options` is reached; returns when all have ended. Precondition:
/// `routers.start()` succeeded. Blocks.
[[nodiscard]] load_outcome run_load(const load_options& options,
                                    router_directory& routers);

} // namespace turmeric::load
