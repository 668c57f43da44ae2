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

/// A change of the declared configuration that an operator requests.
struct configuration_change
{
    domain::declaration_set declared;
    /// The version that the change is based on; 0 means the newest.
    std::int64_t base_version = 0;
    /// Identifies the change: a repeated change with the same operation is
    /// applied only once.
    std::string operation;
    bool is_dry_run = false;
};

/// A change that took effect, or would take effect if it were not a dry run.
struct accepted_change
{
    /// The version that contains the change.
    std::int64_t version = 0;
    std::vector<domain::object_change> changes;
    /// False for a dry run and for a change without effect.
    bool is_written = false;
};

/// A change that conflicts with another operator's change; reported as
/// `configuration_conflict`.
struct conflicting_change
{
    std::int64_t base_version = 0;
    std::vector<domain::object_conflict> conflicts;
    /// The configuration in force, and the one that this change would have
    /// produced from its base version.
    domain::configuration current;
    domain::configuration wanted;
};

/// A change that was rejected for at least one error.
struct rejected_change
{
    std::vector<error> errors;
};

using change_outcome =
    std::variant<accepted_change, conflicting_change, rejected_change>;

} // namespace turmeric::drivers
