#include "libraries/adapters/openssl/digests.hpp"

#include <array>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <vector>

namespace turmeric::adapters
{

namespace
{

std::string to_hex(const unsigned char* bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_digit_mask = 0xF;
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i)
    {
        text += digits[bytes[i] >> bits_per_digit];
        text += digits[bytes[i] & low_digit_mask];
    }
    return text;
}

} // namespace

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
               nullptr);
    return to_hex(digest.data(), length);
}

bool is_equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    int result = RAND_bytes(buffer.data(), static_cast<int>(bytes));
    assert(result == 1);
    static_cast<void>(result);
    return to_hex(buffer.data(), buffer.size());
}

} // namespace turmeric::adapters
