#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <string_view>

namespace turmeric::codecs
{

/// Parses JSON text. Errors: `code` with `field` as the error's field.
/// Thread safe.
result<json> parse_json(std::string_view text, result_code code,
                        std::string_view field);

} // namespace turmeric::codecs
