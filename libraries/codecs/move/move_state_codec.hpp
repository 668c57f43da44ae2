#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/move/move_state.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// The start of the keys that hold move states.
inline constexpr std::string_view move_key_prefix =
    "/turmericfront/live/moves/";

/// Returns the key of a route's move state. Thread safe.
[[nodiscard]] std::string move_key_of(std::string_view route);

/// Returns the stored form: a JSON object, times in microseconds since 1970.
/// Thread safe.
[[nodiscard]] std::string encode(const domain::move_state& state);

/// Reads the stored form; `corrupt_value` with the field at fault. Thread
/// safe.
result<domain::move_state> decode_move_state(std::string_view text);

} // namespace turmeric::codecs
