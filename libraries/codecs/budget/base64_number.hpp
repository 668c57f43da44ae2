#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Appends `value` as a number of `digits` base-64 digits, the most significant
/// digit first. The digits are the characters of the base64url alphabet.
/// Precondition: `value` fits into `digits` digits. Thread safe.
void append_base64_number(std::string& text, std::uint64_t value, int digits);

/// Reads a number that `append_base64_number` wrote. Returns nothing if a
/// character is not a base-64 digit. Thread safe.
std::optional<std::uint64_t> read_base64_number(std::string_view text);

} // namespace turmeric::codecs
