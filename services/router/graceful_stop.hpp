#pragma once

#include "libraries/adapters/settings/daemon_options.hpp"
#include "libraries/adapters/system/stop_signals.hpp"
#include "services/router/router_process.hpp"
#include "services/router/router_settings.hpp"

namespace turmeric::router
{

/// Stops a router without cutting off any request: leaves locate answers,
/// serves callers that still come, finishes every answer, makes bills durable
/// and gives grants back. A second signal or the time limit ends it early and
/// says what was cut. Not thread safe; blocks.
adapters::exit_code stop_gracefully(router_process& router,
                                    const router_settings& settings,
                                    adapters::stop_signals& signals);

} // namespace turmeric::router
