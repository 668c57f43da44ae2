#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace turmeric::burn
{

/// In which form the report is written.
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
    /// Addresses whose /metrics are read.
    std::vector<std::string> routers;
    /// Routers to ask for further routers.
    std::vector<std::string> locate;
    /// Files with declarations.
    std::vector<std::string> declarations;
    /// Client accounts that get lines of their own.
    std::set<std::string> accounts;
    /// Empty: only what is read now.
    std::string history;
    output_format format = output_format::text;
    /// Empty: standard output.
    std::string output;
    bool shows_help = false;
};

/// Reads the command line. Errors: `bad_argument` naming the option. Thread
/// safe.
result<burn_options> read_options(int argc, char** argv);

/// Returns the help text. Thread safe.
[[nodiscard]] std::string help_text();

} // namespace turmeric::burn
