#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <string>

namespace turmeric::adapters
{

/// Checks `settings` against a JSON schema and returns it. A fault is
/// `settings_invalid` with the path in `field`, and the value and what was
/// expected in `detail`. Thread safe.
result<json> check_settings(json settings, const json& schema,
                            const std::string& file);

/// Reads a settings file and checks it. Errors: `settings_unreadable`,
/// `settings_malformed`, `settings_invalid`. Thread safe.
result<json> read_settings(const std::string& file, const json& schema);

} // namespace turmeric::adapters
