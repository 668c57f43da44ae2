#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// Maximum size of an encoded part, half of the platform's limit for a value.
inline constexpr std::size_t max_part_bytes = std::size_t{512} * 1024;

/// Number of parts that the accounts are distributed over.
inline constexpr std::size_t account_part_count = 64;

/// A subset of the objects of a configuration, stored as one value.
struct configuration_part
{
    /// "routes", "upstreams", "moves" or "accounts/{00..3f}".
    std::string name;
    configuration content;
};

/// Returns the name of the part that holds the account. Thread safe.
[[nodiscard]] std::string account_part_name(std::string_view account);

/// Splits a configuration into its parts; empty parts are left out. The result
/// does not depend on the order of the objects. Thread safe.
[[nodiscard]] std::vector<configuration_part>
split_configuration(const configuration& source);

/// Joins parts into a configuration of the given version. Thread safe.
[[nodiscard]] configuration
join_configuration(std::int64_t version,
                   const std::vector<configuration_part>& parts);

/// Returns the digest that identifies an encoded part: 128 bits as 32
/// hexadecimal digits. Thread safe.
[[nodiscard]] std::string part_digest(std::string_view text);

} // namespace turmeric::domain
