#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace turmeric::burn
{

/// The format of the report.
enum class output_format : std::uint8_t
{
    text,
    json,
    html,
    rules,
};

/// The command line of turmeric_burn.
struct burn_options
{
    /// Addresses of routers whose /metrics are read.
    std::vector<std::string> routers;
    /// Addresses of routers to query for the list of routers.
    std::vector<std::string> locate;
    /// Files with route declarations.
    std::vector<std::string> declarations;
    /// Client accounts that are also reported separately.
    std::set<std::string> accounts;
    /// The history file; if empty, the report covers only the samples read
    /// now.
    std::string history;
    output_format format = output_format::text;
    /// The file to write; if empty, standard output.
    std::string output;
    bool shows_help = false;
};

/// Reads the command line. Errors: `bad_argument` naming the option. Thread
/// safe.
result<burn_options> read_options(int argc, char** argv);

/// Returns the help text. Thread safe.
[[nodiscard]] std::string help_text();

} // namespace turmeric::burn
