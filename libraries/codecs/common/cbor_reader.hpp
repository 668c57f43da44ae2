#pragma once

#include "libraries/core/json.hpp"

#include <string_view>

namespace turmeric::codecs
{

/// Decodes CBOR. Returns a discarded value if the bytes are malformed, also if
/// they announce a size that no value can have. Thread safe.
[[nodiscard]] json read_cbor(std::string_view bytes);

} // namespace turmeric::codecs
