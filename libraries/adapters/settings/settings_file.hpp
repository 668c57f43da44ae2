#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <string>

namespace turmeric::adapters
{

/// Validates `settings` against a JSON schema and returns them. `file` appears
/// in error messages only. Errors: `settings_invalid` with the path of the
/// invalid value in `field`, and the value and the violated rule in `detail`.
/// Thread safe.
result<json> check_settings(json settings, const json& schema,
                            const std::string& file);

/// Reads a settings file and validates it. Errors: `settings_unreadable` if it
/// cannot be opened, `settings_malformed` if it is not JSON, `settings_invalid`
/// if it violates the schema. Thread safe.
result<json> read_settings(const std::string& file, const json& schema);

} // namespace turmeric::adapters
