#pragma once

#include <string>
#include <string_view>

namespace turmeric::adapters
{

/// Returns the SHA-256 digest of `text` in hexadecimal. Thread safe.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// Compares without telling by its duration where the texts differ. Thread
/// safe.
[[nodiscard]] bool is_equal_in_constant_time(std::string_view left,
                                             std::string_view right);

/// Returns `bytes` random bytes in hexadecimal, fit for keys. Thread safe.
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace turmeric::adapters
