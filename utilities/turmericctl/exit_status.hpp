#pragma once

#include <cstdint>

namespace turmeric::ctl
{

/// Exit codes, listed in docs/operators/turmericctl.md.
enum class exit_status : std::uint8_t
{
    done = 0,
    /// The controller refused; nothing was changed.
    refused = 1,
    /// The command line or a declaration file is invalid; nothing was sent.
    usage = 2,
    /// `diff` only: there are differences.
    differs = 3,
    /// The call may or may not have taken effect.
    outcome_unknown = 4,
    /// Another operator changed the same objects.
    conflict = 5,
    /// No controller could be reached; nothing was changed.
    unreachable = 6,
    /// `explain` only: the logs have no record of the request.
    not_found = 7,
};

} // namespace turmeric::ctl
