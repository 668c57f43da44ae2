#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/move/move_state.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// The prefix of the keys of the stored move states.
inline constexpr std::string_view move_key_prefix =
    "/turmericfront/live/moves/";

/// Returns the key of a route's move state. Thread safe.
[[nodiscard]] std::string move_key_of(std::string_view route);

/// Encodes a move state as the JSON object that is stored, with times in
/// microseconds since the Unix epoch. Thread safe.
[[nodiscard]] std::string encode(const domain::move_state& state);

/// Decodes a stored move state. Errors: `corrupt_value` with the path of the
/// first missing or invalid field. Thread safe.
result<domain::move_state> decode_move_state(std::string_view text);

} // namespace turmeric::codecs
