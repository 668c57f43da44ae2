#pragma once

#include "libraries/drivers/answers/response_buffer.hpp"
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
struct runner_parts
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
struct runner_patience
{
    /// A pause this long frees the upstream; the stream is parked.
    std::chrono::milliseconds park_after{2'000};
    /// A stream parked this long is ended.
    std::chrono::milliseconds longest_park{120'000};
};

/// Runs requests from admission to the durable bill. Thread safe: each run
/// is on the thread that calls it.
class request_runner
{
public:
    /// See `runner_parts`.
    request_runner(runner_parts parts, runner_patience patience);

    /// Runs `request` and writes its answer to `record`, which has ended when
    /// this returns. Returns whether the record is to be kept for a repeated
    /// request. Thread safe; blocks for the whole request.
    bool run(const request_context& request, response_buffer& record);

private:
    class one_run;

    runner_parts m_parts;
    runner_patience m_patience;
};

} // namespace turmeric::drivers
