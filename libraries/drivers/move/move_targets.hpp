#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/move/move_state.hpp"

#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Returns the declaration of the move that has this state, or null when the
/// declaration was removed. Thread safe.
[[nodiscard]] const domain::move_declaration*
find_declaration(const domain::configuration& declared,
                 const domain::move_state& state);

/// Returns the serving engines that must load the new version of a move. A
/// route of plain services has none, as services take no orders. Thread safe.
[[nodiscard]] std::vector<const domain::upstream_declaration*>
engines_to_load(const domain::configuration& declared,
                const domain::move_state& state);

/// Returns whether an upstream has loaded the new version. Thread safe.
[[nodiscard]] bool has_loaded(const domain::move_state& state,
                              const std::string& upstream);

/// Returns whether all `engines_to_load` have loaded the new version. Thread
/// safe.
[[nodiscard]] bool
have_all_engines_loaded(const domain::configuration& declared,
                        const domain::move_state& state);

} // namespace turmeric::drivers
