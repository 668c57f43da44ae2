#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/move/move_state.hpp"

#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Returns the declaration that a state belongs to, or null when it is gone.
/// Thread safe.
[[nodiscard]] const domain::move_declaration*
find_declared(const domain::configuration& declared,
              const domain::move_state& state);

/// Returns the serving engines that are to load the new version of a move;
/// plain services take no orders. Thread safe.
[[nodiscard]] std::vector<const domain::upstream_declaration*>
engines_of(const domain::configuration& declared,
           const domain::move_state& state);

/// Tells whether an upstream has loaded the new version. Thread safe.
[[nodiscard]] bool is_ready(const domain::move_state& state,
                            const std::string& upstream);

/// Tells whether all engines have. Thread safe.
[[nodiscard]] bool are_engines_ready(const domain::configuration& declared,
                                     const domain::move_state& state);

} // namespace turmeric::drivers
