#pragma once

#include "libraries/codecs/common/limit_checker.hpp"
#include "libraries/core/json.hpp"

#include <cstddef>
#include <string_view>

namespace turmeric::codecs
{

/// The most arrays and objects that may lie within each other.
inline constexpr std::size_t max_cbor_depth = 32;

/// The most values; a datagram has fewer bytes.
inline constexpr std::size_t max_cbor_values = 1 << 16;

/// Decodes CBOR. Returns a discarded value if the bytes are malformed, also if
/// they announce a size that no value can have, are nested more deeply than
/// `max_cbor_depth` or have more than `max_cbor_values`. Thread safe.
[[nodiscard]] json read_cbor(std::string_view bytes);

} // namespace turmeric::codecs
