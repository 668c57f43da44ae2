#pragma once

#include "libraries/codecs/common/limit_checker.hpp"
#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <cstddef>
#include <string_view>

namespace turmeric::codecs
{

/// The most arrays and objects that may lie within each other.
inline constexpr std::size_t max_json_depth = 128;

/// The bytes of the largest value that the platform's store keeps.
inline constexpr std::size_t max_stored_value_bytes = 1 << 20;

/// The limits of a JSON text of at most `bytes`. Its values take more than four
/// bytes each with what is between them, unless it is made to take memory.
constexpr document_limits json_limits_for(std::size_t bytes)
{
    return {max_json_depth, bytes / 4};
}

inline constexpr document_limits default_json_limits =
    json_limits_for(max_stored_value_bytes);

/// Parses JSON text. Errors: `code` with `field` as the error's field, also if
/// the text exceeds `limits`, which is found before any value is kept. Thread
/// safe.
result<json> parse_json(std::string_view text, result_code code,
                        std::string_view field,
                        document_limits limits = default_json_limits);

} // namespace turmeric::codecs
