#pragma once

#include "libraries/core/error.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstddef>
#include <vector>

namespace turmeric::domain
{

/// Maximum number of characters in the name of an object or version.
inline constexpr std::size_t max_name_length = 63;

/// Returns a `configuration_invalid` error for each violated rule, whose field
/// is a path such as `route/chat.versions[0].version`. The result is empty
/// when the configuration may come into force. Thread safe.
[[nodiscard]] std::vector<error> validate(const configuration& candidate);

} // namespace turmeric::domain
