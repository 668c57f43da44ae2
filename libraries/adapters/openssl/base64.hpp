#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmeric::adapters
{

/// Returns `bytes` in base64 with padding. Thread safe.
[[nodiscard]] std::string encode_base64(std::string_view bytes);

/// Decodes base64 text with padding. Returns nothing if `text` is not valid.
/// Thread safe.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace turmeric::adapters
