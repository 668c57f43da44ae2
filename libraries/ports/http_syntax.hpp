#pragma once

#include <algorithm>
#include <string_view>

namespace turmeric::ports
{

/// Returns whether a number is a valid status of a response (RFC 9110, 15).
/// Thread safe.
[[nodiscard]] constexpr bool is_valid_status(int status)
{
    constexpr int first_status = 100;
    constexpr int last_status = 599;
    return status >= first_status && status <= last_status;
}

/// Returns whether a valid status is that of an interim response, which a final
/// one follows. Thread safe.
[[nodiscard]] constexpr bool is_interim_status(int status)
{
    constexpr int first_status = 100;
    constexpr int last_status = 199;
    return status >= first_status && status <= last_status;
}

/// Returns whether a byte may be part of the name of a header field or trailer
/// (`tchar` of RFC 9110, 5.6.2). Thread safe.
[[nodiscard]] constexpr bool is_field_name_byte(char byte)
{
    const bool is_letter =
        (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool is_digit = byte >= '0' && byte <= '9';
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_letter || is_digit || marks.find(byte) != std::string_view::npos;
}

/// Returns whether a text is the name of a header field or trailer. Thread
/// safe.
[[nodiscard]] constexpr bool is_field_name(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_field_name_byte);
}

} // namespace turmeric::ports
