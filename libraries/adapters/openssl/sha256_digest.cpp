#include "libraries/adapters/openssl/sha256_digest.hpp"

#include <array>
#include <cstring>
#include <memory>
#include <openssl/evp.h>

namespace turmeric::adapters
{

std::uint64_t
sha256_digest::digest_of(const std::vector<std::string_view>& texts) const
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
        EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view text : texts)
    {
        // With the length before each text, no two lists are alike.
        const std::uint64_t size = text.size();
        EVP_DigestUpdate(context.get(), &size, sizeof(size));
        EVP_DigestUpdate(context.get(), text.data(), text.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    EVP_DigestFinal_ex(context.get(), bytes.data(), nullptr);
    std::uint64_t digest = 0;
    std::memcpy(&digest, bytes.data(), sizeof(digest));
    return digest;
}

} // namespace turmeric::adapters
