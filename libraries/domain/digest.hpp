#pragma once

#include <cstdint>
#include <string_view>

namespace turmeric::domain
{

/// Returns a 64-bit digest that is the same on every VM. It serves to
/// distribute and compare texts; it is not a cryptographic hash. Thread safe.
[[nodiscard]] std::uint64_t digest_of(std::string_view text,
                                      std::uint64_t seed = 0);

} // namespace turmeric::domain
