#pragma once

#include <string>
#include <string_view>

namespace turmeric::adapters
{

/// Returns the SHA-256 digest of `text` in hexadecimal. Thread safe.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// Compares two texts. The duration does not depend on where they differ, so
/// that a secret cannot be guessed from it; a difference in length is not
/// hidden. Thread safe.
[[nodiscard]] bool is_equal_in_constant_time(std::string_view left,
                                             std::string_view right);

/// Returns `bytes` cryptographically secure random bytes in hexadecimal. Thread
/// safe.
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace turmeric::adapters
