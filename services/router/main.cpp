#include "libraries/adapters/settings/daemon_options.hpp"
#include "libraries/adapters/system/stop_signals.hpp"
#include "libraries/core/json.hpp"
#include "services/router/graceful_stop.hpp"
#include "services/router/router_process.hpp"
#include "services/router/router_settings.hpp"

#include <fmt/format.h>

namespace
{

using turmeric::json;
using turmeric::adapters::exit_code;
using turmeric::router::router_process;
using turmeric::router::router_settings;

exit_code serve(const router_settings& settings)
{
    turmeric::adapters::stop_signals signals;
    router_process router(settings);
    turmeric::result<turmeric::router::router_addresses> addresses =
        router.start();
    if (!addresses)
    {
        router.log().write(turmeric::log_level::error,
                           turmeric::log_event::listen_failed,
                           {{"reason", addresses.failure().detail}});
        return exit_code::failure;
    }
    router.log().write(turmeric::log_level::info,
                       turmeric::log_event::process_started,
                       {{"caller_address", addresses.value().caller},
                        {"peer_address", addresses.value().peer},
                        {"version", std::string(TURMERIC_VERSION)}});
    json line = {{"caller_address", addresses.value().caller},
                 {"peer_address", addresses.value().peer}};
    fmt::print("{}\n", line.dump());
    std::fflush(stdout);
    constexpr std::chrono::milliseconds fence_poll_interval{500};
    while (!signals.wait_for(fence_poll_interval))
    {
        if (router.is_fenced())
        {
            // The process supervisor of the VM starts a new incarnation.
            static_cast<void>(
                turmeric::router::stop_gracefully(router, settings, signals));
            return exit_code::failure;
        }
    }
    return turmeric::router::stop_gracefully(router, settings, signals);
}

} // namespace

int main(int argc, char** argv)
{
    std::variant<turmeric::adapters::daemon_options, exit_code> options =
        turmeric::adapters::read_daemon_options(
            argc, argv, "turmeric_router",
            "Routes callers' requests to upstreams within prepaid budgets.",
            turmeric::router::router_settings_schema());
    if (const exit_code* code = std::get_if<exit_code>(&options))
    {
        return static_cast<int>(*code);
    }
    return static_cast<int>(serve(turmeric::router::read_router_settings(
        std::get<turmeric::adapters::daemon_options>(options).settings)));
}
