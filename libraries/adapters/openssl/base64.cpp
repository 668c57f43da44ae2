#include "libraries/adapters/openssl/base64.hpp"

#include <openssl/evp.h>

#include <cstddef>

namespace turmeric::adapters
{

namespace
{

constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_characters = 4;
constexpr std::size_t max_padding = 2;

const unsigned char* unsigned_data(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::size_t padding_of(std::string_view text)
{
    std::size_t padding = 0;
    while (padding < max_padding && text[text.size() - 1 - padding] == '=')
    {
        ++padding;
    }
    return padding;
}

} // namespace

std::string encode_base64(std::string_view bytes)
{
    const std::size_t groups = (bytes.size() + group_bytes - 1) / group_bytes;
    // `EVP_EncodeBlock` also writes a terminating zero.
    std::string text(groups * group_characters + 1, '\0');
    const int written =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        unsigned_data(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    if (text.empty())
    {
        return std::string();
    }
    if (text.size() % group_characters != 0)
    {
        return std::nullopt;
    }
    std::string bytes(text.size() / group_characters * group_bytes, '\0');
    const int written =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        unsigned_data(text), static_cast<int>(text.size()));
    if (written < 0)
    {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(written) - padding_of(text));
    return bytes;
}

} // namespace turmeric::adapters
