#pragma once

#include "libraries/core/json.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace turmeric::adapters
{

/// Exit codes of every program, listed in docs/settings.md.
enum class exit_code : int
{
    success = 0,
    /// The work failed while it ran.
    failure = 1,
    /// The command line or the settings are wrong; nothing was started.
    usage = 2,
    /// A graceful stop cut off requests in flight.
    cut_off = 3,
};

/// What a daemon was started with.
struct daemon_options
{
    /// The checked settings.
    json settings;
    /// Where they were read from.
    std::string file;
};

/// Reads a daemon's command line: `--settings FILE` or `--settings-from
/// NAME` (an environment variable that holds the path), `--check-settings`,
/// `--help`, `--version`. Returns the checked settings, or the code to exit
/// with after it has printed what was asked for or what is wrong.
/// Precondition: `schema` is a JSON schema. Not thread safe.
std::variant<daemon_options, exit_code>
read_daemon_options(int argc, char** argv, const std::string& program,
                    const std::string& purpose, const json& schema);

/// Returns the part of a settings schema that all daemons share: `name`,
/// `vm`, `data_centre`, `log`, `platform`. Thread safe.
[[nodiscard]] json common_settings_properties();

} // namespace turmeric::adapters
