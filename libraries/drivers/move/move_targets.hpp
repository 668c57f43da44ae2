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
find_declaration(const domain::configuration& declared,
                 const domain::move_state& state);

/// Returns the serving engines that are to load the new version of a move;
/// plain services take no orders. Thread safe.
[[nodiscard]] std::vector<const domain::upstream_declaration*>
engines_to_load(const domain::configuration& declared,
                const domain::move_state& state);

/// Tells whether an upstream has loaded the new version. Thread safe.
[[nodiscard]] bool has_loaded(const domain::move_state& state,
                              const std::string& upstream);

/// Tells whether all engines have. Thread safe.
[[nodiscard]] bool
have_all_engines_loaded(const domain::configuration& declared,
                        const domain::move_state& state);

} // namespace turmeric::drivers
