#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/changes.hpp"

#include <google/protobuf/repeated_ptr_field.h>

namespace turmericfront::v1
{
class Declaration;
} // namespace turmericfront::v1

namespace turmeric::adapters
{

using declaration_messages =
    google::protobuf::RepeatedPtrField<turmericfront::v1::Declaration>;

/// Converts messages to declarations. Errors: `configuration_invalid` with a
/// path such as `declarations[3].versions[0].version`. Thread safe.
result<domain::declaration_set>
read_declarations(const declaration_messages& messages);

/// Appends each object of a configuration to `into` as a declaration. Thread
/// safe for different `into`.
void write_declarations(const domain::configuration& from,
                        declaration_messages& into);

/// Converts a declaration in the JSON format of the configuration files,
/// `{"kind": "route", ...}`, to a message. Errors: `malformed_body`.
/// Precondition: `from` has a known kind. Thread safe for different `into`.
status declaration_from_json(const json& from,
                             turmericfront::v1::Declaration& into);

/// Converts a message to the JSON format of the configuration files. Thread
/// safe.
[[nodiscard]] json
declaration_to_json(const turmericfront::v1::Declaration& message);

} // namespace turmeric::adapters
