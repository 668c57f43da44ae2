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

/// Decodes one declaration, such as `{"kind": "route", ...}`, and adds it to
/// `into`. Errors: `configuration_invalid` with the path of the field, which
/// starts with `path`; also for a second declaration of the same object.
/// Thread safe for different `into`.
status decode_declaration(const json& from, const std::string& path,
                          domain::configuration& into);

/// Encodes every object of a configuration as a declaration with its kind.
/// Thread safe.
[[nodiscard]] json encode_declarations(const domain::configuration& from);

/// Encodes the object of the given kind and name as a declaration; returns null
/// if there is no such object. Thread safe.
[[nodiscard]] json encode_declaration(const domain::configuration& from,
                                      domain::object_kind kind,
                                      const std::string& name);

/// Encodes a part as JSON. Errors: `platform_value_too_large` with the part's
/// name. Thread safe.
result<std::string> encode_part(const domain::configuration_part& part);

/// Decodes the content of a part. Errors: `corrupt_value` with a path that
/// starts with `name`. Thread safe.
result<domain::configuration> decode_part(std::string_view text,
                                          const std::string& name);

/// Encodes a head as JSON. Thread safe.
[[nodiscard]] std::string encode_head(const domain::configuration_head& head);

/// Decodes a head. Errors: `corrupt_value`. Thread safe.
result<domain::configuration_head> decode_head(std::string_view text);

/// Builds a configuration from a head and the encoded texts of its parts.
/// Precondition: `texts` has an entry for each digest in the head. Errors:
/// `corrupt_value`. Thread safe.
result<domain::configuration>
assemble_configuration(const domain::configuration_head& head,
                       const domain::part_texts& texts);

} // namespace turmeric::codecs
