#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// The most bytes that one part may have, half of what the platform takes.
inline constexpr std::size_t max_part_bytes = std::size_t{512} * 1024;

/// How many parts the accounts are spread over.
inline constexpr std::size_t account_part_count = 64;

/// Some of the objects of a configuration, stored as one value.
struct configuration_part
{
    /// "routes", "upstreams", "moves" or "accounts/{00..3f}".
    std::string name;
    configuration content;
};

/// Returns the name of the part that holds the account. Thread safe.
[[nodiscard]] std::string account_part_name(std::string_view account);

/// Splits a configuration into its parts without the empty ones. The same
/// objects give the same parts whatever their order. Thread safe.
[[nodiscard]] std::vector<configuration_part>
split_configuration(const configuration& source);

/// Joins parts to a configuration of the given version. Thread safe.
[[nodiscard]] configuration
join_configuration(std::int64_t version,
                   const std::vector<configuration_part>& parts);

/// Returns the digest that names a part: 128 bits in 32 hexadecimal digits.
/// Thread safe.
[[nodiscard]] std::string part_digest(std::string_view text);

} // namespace turmeric::domain
