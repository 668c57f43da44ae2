#pragma once

#include "libraries/adapters/settings/daemon_options.hpp"
#include "libraries/adapters/system/stop_signals.hpp"
#include "services/router/router_process.hpp"
#include "services/router/router_settings.hpp"

namespace turmeric::router
{

/// Stops a router without aborting requests: removes it from locate responses,
/// serves callers that still arrive, completes all responses, makes bills
/// durable and returns grants. A second signal or the timeout ends this early;
/// the number of aborted requests is then logged and the process exits. Not
/// thread safe; blocks.
adapters::exit_code stop_gracefully(router_process& router,
                                    const router_settings& settings,
                                    adapters::stop_signals& signals);

} // namespace turmeric::router
