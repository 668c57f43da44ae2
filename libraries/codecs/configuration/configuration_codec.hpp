#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/configuration_head.hpp"
#include "libraries/domain/configuration/object_lists.hpp"
#include "libraries/domain/configuration/parts.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Reads one declaration, such as `{"kind": "route", ...}`, and adds it to
/// `into`. Errors: `configuration_invalid` with the field's path, which
/// starts with `path`. Thread safe for different `into`.
status decode_declaration(const json& from, const std::string& path,
                          domain::configuration& into);

/// Returns every object of a configuration as a declaration with its kind.
/// Thread safe.
[[nodiscard]] json encode_declarations(const domain::configuration& from);

/// Returns the object of that kind and name as a declaration, or null.
/// Thread safe.
[[nodiscard]] json encode_declaration(const domain::configuration& from,
                                      domain::object_kind kind,
                                      const std::string& name);

/// Writes a part. Errors: `platform_value_too_large` naming the part.
/// Thread safe.
result<std::string> encode_part(const domain::configuration_part& part);

/// Reads a part's content; `name` is for errors. Errors: `corrupt_value`.
/// Thread safe.
result<domain::configuration> decode_part(std::string_view text,
                                          const std::string& name);

/// Writes a head. Thread safe.
[[nodiscard]] std::string encode_head(const domain::configuration_head& head);

/// Reads a head. Errors: `corrupt_value`. Thread safe.
result<domain::configuration_head> decode_head(std::string_view text);

/// Builds a configuration from a head and its parts' texts. Errors:
/// `corrupt_value`. Precondition: `texts` has each digest of the head.
/// Thread safe.
result<domain::configuration>
assemble_configuration(const domain::configuration_head& head,
                       const domain::part_texts& texts);

} // namespace turmeric::codecs
