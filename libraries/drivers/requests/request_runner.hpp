#pragma once

#include "libraries/drivers/answers/answer_record.hpp"
#include "libraries/drivers/move/version_guard.hpp"
#include "libraries/drivers/requests/request_context.hpp"
#include "libraries/drivers/requests/request_ledger.hpp"
#include "libraries/drivers/requests/request_observer.hpp"
#include "libraries/drivers/requests/upstream_exchange.hpp"
#include "libraries/drivers/traffic/traffic_control.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/upstream.hpp"

#include <chrono>
#include <string>

namespace turmeric::drivers
{

/// What a runner needs; all outlive it and are thread safe.
struct runner_dependencies
{
    traffic_control& traffic;
    version_guard& versions;
    request_ledger& ledger;
    ports::upstream_caller& upstreams;
    request_observer& observer;
    const ports::clock& clock;
    std::string data_centre;
};

/// How long a run bears with a slow reader.
struct slow_reader_limits
{
    /// A pause this long frees the upstream; the stream is parked.
    std::chrono::milliseconds park_after{2'000};
    /// A stream parked this long is ended.
    std::chrono::milliseconds max_park_time{120'000};
};

/// Runs requests from admission to the durable bill. Thread safe: each run
/// is on the thread that calls it.
class request_runner
{
public:
    /// See `runner_dependencies`.
    request_runner(runner_dependencies dependencies,
                   slow_reader_limits reader_limits);

    /// Runs `request` and writes its answer to `record`, which has ended when
    /// this returns. Returns whether the record is to be kept for a repeated
    /// request. Thread safe; blocks for the whole request.
    bool run(const request_context& request, answer_record& record);

private:
    class request_run;

    runner_dependencies m_dependencies;
    slow_reader_limits m_reader_limits;
};

} // namespace turmeric::drivers
