#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Appends `value` in `digits` characters of six bits each, most significant
/// first. Precondition: it fits. Thread safe.
void append_base64_number(std::string& text, std::uint64_t value, int digits);

/// Reads a number written by `append_base64_number`; empty when a character is
/// not one of its 64. Thread safe.
std::optional<std::uint64_t> read_base64_number(std::string_view text);

} // namespace turmeric::codecs
