#pragma once

#include "utilities/turmericctl/operator_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmeric::ctl
{

/// The parsed command line.
struct command_line
{
    client_settings client;
    std::string command;
    /// The positional arguments after the command.
    std::vector<std::string> arguments;
    std::string folder;
    std::string output_folder;
    std::string id;
    std::string upstream;
    std::string vm;
    std::optional<std::int64_t> base_version;
    bool is_complete = false;
    bool is_undone = false;
    bool is_json = false;
};

/// Parses the command line. After printing the help, the version or an error,
/// returns the exit status instead. The environment variables
/// TURMERIC_CONTROLLERS and TURMERIC_OPERATOR_KEY replace missing options.
/// Not thread safe.
std::variant<command_line, exit_status> read_command_line(int argc,
                                                          char** argv);

} // namespace turmeric::ctl
