#pragma once

#include "libraries/core/json.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace turmeric::adapters
{

/// Exit codes of all programs; docs/settings.md lists them.
enum class exit_code : int
{
    success = 0,
    /// The program started but failed while it ran.
    failure = 1,
    /// The command line or the settings are invalid; the program did not start.
    usage = 2,
    /// A graceful stop reached its time limit and aborted requests in flight.
    requests_aborted = 3,
};

/// The settings from a daemon's command line.
struct daemon_options
{
    /// The settings, validated against the schema.
    json settings;
    /// The path of the file that they were read from.
    std::string file;
};

/// Parses a daemon's command line: `--settings FILE` or `--settings-from
/// NAME` (an environment variable that holds the path), `--check-settings`,
/// `--help`, `--version`. Returns the validated settings. If the process is to
/// exit instead, prints the requested output or the error and returns the exit
/// code. Precondition: `schema` is a JSON schema. Not thread safe.
std::variant<daemon_options, exit_code>
read_daemon_options(int argc, char** argv, const std::string& program,
                    const std::string& purpose, const json& schema);

/// Returns the schema properties that all daemons have: `name`, `vm`,
/// `data_centre`, `log`, `platform`. Thread safe.
[[nodiscard]] json common_settings_properties();

} // namespace turmeric::adapters
