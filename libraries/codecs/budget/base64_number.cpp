#include "libraries/codecs/budget/base64_number.hpp"

namespace turmeric::codecs
{

namespace
{

constexpr int bits_per_digit = 6;
constexpr std::uint64_t digit_mask = 63;
constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "abcdefghijklmnopqrstuvwxyz"
                                      "0123456789-_";

/// Returns the value of a base-64 digit, or -1 for any other character.
int digit_value(char digit)
{
    if (digit >= 'A' && digit <= 'Z')
    {
        return digit - 'A';
    }
    if (digit >= 'a' && digit <= 'z')
    {
        return digit - 'a' + 26;
    }
    if (digit >= '0' && digit <= '9')
    {
        return digit - '0' + 52;
    }
    if (digit == '-')
    {
        return 62;
    }
    return digit == '_' ? 63 : -1;
}

} // namespace

void append_base64_number(std::string& text, std::uint64_t value, int digits)
{
    for (int position = digits - 1; position >= 0; --position)
    {
        const std::uint64_t digit =
            (value >> (position * bits_per_digit)) & digit_mask;
        text += alphabet[digit];
    }
}

std::optional<std::uint64_t> read_base64_number(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char character : text)
    {
        const int digit = digit_value(character);
        if (digit < 0)
        {
            return std::nullopt;
        }
        value = value << bits_per_digit | static_cast<std::uint64_t>(digit);
    }
    return value;
}

} // namespace turmeric::codecs
