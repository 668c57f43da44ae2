#pragma once

#include "libraries/domain/digest.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::standins
{

/// Size in bytes of the text of one response token.
inline constexpr std::size_t token_text_bytes = 8;

/// Appends one message to `prompt`, the text whose digest identifies the
/// prompt. Thread safe on separate texts.
inline void append_message(std::string& prompt, std::string_view role,
                           std::string_view content)
{
    prompt.append(role);
    prompt.push_back('\n');
    prompt.append(content);
    prompt.push_back('\n');
}

/// Returns the number of tokens in `prompt`. A token is four bytes; the last
/// one may be shorter. Thread safe.
[[nodiscard]] inline std::int64_t count_prompt_tokens(std::string_view prompt)
{
    constexpr std::size_t bytes_per_token = 4;
    return static_cast<std::int64_t>((prompt.size() + bytes_per_token - 1) /
                                     bytes_per_token);
}

/// Appends the text of token `index` of the response to the prompt with
/// `digest`. The text is the same on every engine. Thread safe on separate
/// texts.
inline void append_token(std::string& text, std::uint64_t digest,
                         std::int64_t index)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz012345";
    constexpr int letter_bits = 5;
    const std::string_view index_bytes(reinterpret_cast<const char*>(&index),
                                       sizeof(index));
    std::uint64_t bits = domain::digest_of(index_bytes, digest);
    text.push_back(' ');
    for (std::size_t letter = 1; letter < token_text_bytes; ++letter)
    {
        text.push_back(letters[bits % letters.size()]);
        bits >>= letter_bits;
    }
}

} // namespace turmeric::standins
