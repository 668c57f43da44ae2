#pragma once

#include "libraries/drivers/move/version_guard.hpp"
#include "libraries/drivers/requests/request_context.hpp"
#include "libraries/drivers/requests/request_ledger.hpp"
#include "libraries/drivers/requests/request_observer.hpp"
#include "libraries/drivers/requests/upstream_exchange.hpp"
#include "libraries/drivers/responses/response_buffer.hpp"
#include "libraries/drivers/traffic/traffic_control.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/upstream.hpp"

#include <chrono>
#include <string>

namespace turmeric::drivers
{

/// The objects that a runner uses; all outlive it and are thread safe.
struct request_runner_dependencies
{
    traffic_control& traffic;
    version_guard& versions;
    request_ledger& ledger;
    ports::upstream_caller& upstreams;
    request_observer& observer;
    const ports::clock& clock;
    std::string data_centre;
};

/// Time limits for a caller that reads its response slowly.
struct slow_reader_limits
{
    /// A stream whose reader makes no room for this long is parked, which
    /// releases its upstream.
    std::chrono::milliseconds park_after{2'000};
    /// A stream that has been parked for this long is ended.
    std::chrono::milliseconds max_park_time{120'000};
};

/// Runs requests from admission to the durable bill. Thread safe: each run
/// uses the calling thread.
class request_runner
{
public:
    /// Creates a runner. Precondition: see `request_runner_dependencies`.
    request_runner(request_runner_dependencies dependencies,
                   slow_reader_limits reader_limits);

    /// Runs `request` and writes its response to `buffer`, which has ended when
    /// this returns. Returns whether to retain the buffer for a repetition of
    /// the request. Thread safe; blocks until the request has ended.
    bool run(const request_context& request, response_buffer& buffer);

private:
    class request_run;

    request_runner_dependencies m_dependencies;
    slow_reader_limits m_reader_limits;
};

} // namespace turmeric::drivers
