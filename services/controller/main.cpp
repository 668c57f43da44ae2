#include "libraries/adapters/settings/daemon_options.hpp"
#include "libraries/adapters/system/stop_signals.hpp"
#include "libraries/core/json.hpp"
#include "services/controller/controller_process.hpp"
#include "services/controller/controller_settings.hpp"

#include <fmt/format.h>

namespace
{

using turmeric::json;
using turmeric::log_event;
using turmeric::log_level;
using turmeric::adapters::exit_code;
using turmeric::controller::controller_addresses;
using turmeric::controller::controller_process;
using turmeric::controller::controller_settings;

exit_code serve(const controller_settings& settings)
{
    turmeric::adapters::stop_signals signals;
    controller_process controller(settings);
    const turmeric::result<controller_addresses> addresses = controller.start();
    if (!addresses)
    {
        controller.log().write(log_level::error, log_event::listen_failed,
                               {{"reason", addresses.failure().detail}});
        return exit_code::failure;
    }
    const controller_addresses& listening = addresses.value();
    controller.log().write(log_level::info, log_event::process_started,
                           {{"operator_address", listening.operators},
                            {"peer_address", listening.peer},
                            {"version", std::string(TURMERIC_VERSION)}});
    const json line = {{"operator_address", listening.operators},
                       {"peer_address", listening.peer}};
    fmt::print("{}\n", line.dump());
    std::fflush(stdout);
    signals.wait();
    controller.log().write(log_level::info, log_event::process_stopping, {});
    controller.stop();
    controller.log().write(log_level::info, log_event::process_stopped, {});
    return exit_code::success;
}

} // namespace

int main(int argc, char** argv)
{
    std::variant<turmeric::adapters::daemon_options, exit_code> options =
        turmeric::adapters::read_daemon_options(
            argc, argv, "turmeric_controller",
            "Serves operators and manages version moves and budgets.",
            turmeric::controller::controller_settings_schema());
    if (const exit_code* code = std::get_if<exit_code>(&options))
    {
        return static_cast<int>(*code);
    }
    return static_cast<int>(
        serve(turmeric::controller::read_controller_settings(
            std::get<turmeric::adapters::daemon_options>(options).settings)));
}
