#include "services/router/graceful_stop.hpp"

#include <chrono>
#include <cstdlib>

namespace turmeric::router
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{50};

/// Waits until `is_done` returns true or `limit` has passed. Returns false if a
/// second signal ended the wait.
template <class Condition>
bool wait_until(adapters::stop_signals& signals,
                std::chrono::milliseconds limit, Condition is_done)
{
    std::chrono::steady_clock::time_point wait_end =
        std::chrono::steady_clock::now() + limit;
    while (!is_done() && std::chrono::steady_clock::now() < wait_end)
    {
        if (signals.wait_for(poll_interval))
        {
            return false;
        }
    }
    return true;
}

} // namespace

adapters::exit_code stop_gracefully(router_process& router,
                                    const router_settings& settings,
                                    adapters::stop_signals& signals)
{
    logger& log = router.log();
    log.write(log_level::info, log_event::process_stopping,
              {{"in_flight",
                static_cast<std::int64_t>(router.requests_in_flight())}});
    router.start_leaving();
    // Callers may still use earlier locate responses that list this router.
    bool is_uninterrupted =
        wait_until(signals, settings.leave_time, [] { return false; });
    router.stop_accepting_requests();
    if (is_uninterrupted)
    {
        wait_until(signals, settings.stop_timeout,
                   [&router] { return router.requests_in_flight() == 0; });
    }
    std::size_t aborted = router.requests_in_flight();
    if (aborted > 0)
    {
        log.write(log_level::error, log_event::stop_cut_streams,
                  {{"in_flight", static_cast<std::int64_t>(aborted)}});
        // The threads of aborted requests cannot be joined, so the process
        // exits without running destructors.
        std::_Exit(static_cast<int>(adapters::exit_code::requests_aborted));
    }
    router.finish(settings.stop_timeout);
    log.write(log_level::info, log_event::process_stopped, {});
    return adapters::exit_code::success;
}

} // namespace turmeric::router
