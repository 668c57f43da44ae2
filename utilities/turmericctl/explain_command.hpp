#pragma once

#include "utilities/turmericctl/command_line.hpp"
#include "utilities/turmericctl/exit_status.hpp"

namespace turmeric::ctl
{

/// The name of the command that reads logs and calls no controller.
inline constexpr const char* explain_command_name = "explain";

/// Prints the timeline of one request from log files. The arguments of the
/// command line are the request's id and the files; `-` is standard input.
/// Not thread safe; blocks.
exit_status explain_request(const command_line& line);

} // namespace turmeric::ctl
