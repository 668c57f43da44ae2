#pragma once

#include "libraries/core/error.hpp"
#include "libraries/domain/configuration/changes.hpp"
#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/configuration/merge.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace turmeric::drivers
{

/// What an operator wants to be declared.
struct configuration_change
{
    domain::declaration_set declared;
    /// The version that the change was made against; 0 means the newest.
    std::int64_t base_version = 0;
    /// Names this change; a repeat under the same name is applied once.
    std::string operation;
    bool is_dry_run = false;
};

/// A change that took effect, or would.
struct accepted_change
{
    /// The version that has the change.
    std::int64_t version = 0;
    std::vector<domain::object_change> changes;
    /// False for a dry run and when nothing changes.
    bool is_written = false;
};

/// A change that lost against another operator's: `configuration_conflict`.
struct conflicting_change
{
    std::int64_t base_version = 0;
    std::vector<domain::object_conflict> conflicts;
    /// What is in force, and what this operator wanted.
    domain::configuration current;
    domain::configuration wanted;
};

/// A change that was not accepted for the given faults, one or more.
struct rejected_change
{
    std::vector<error> errors;
};

using change_outcome =
    std::variant<accepted_change, conflicting_change, rejected_change>;

} // namespace turmeric::drivers
