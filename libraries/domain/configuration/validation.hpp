#pragma once

#include "libraries/core/error.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstddef>
#include <vector>

namespace turmeric::domain
{

/// The most characters in the name of an object or version.
inline constexpr std::size_t max_name_length = 63;

/// Returns what breaks a rule, each a `configuration_invalid` whose field is
/// a path such as `route/chat.versions[0].version`; empty when the
/// configuration may come into force. Thread safe.
[[nodiscard]] std::vector<error> validate(const configuration& candidate);

} // namespace turmeric::domain
