#pragma once

#include "utilities/turmericctl/command_line.hpp"
#include "utilities/turmericctl/operator_client.hpp"

namespace turmeric::ctl
{

/// Runs the command of the command line and prints its outcome: replies to
/// standard output, errors to standard error. Not thread safe; blocks.
exit_status run_command(operator_client& client, const command_line& line);

} // namespace turmeric::ctl
