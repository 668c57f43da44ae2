#include "libraries/domain/digest.hpp"

#include <xxhash.h>

namespace turmeric::domain
{

std::uint64_t digest_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace turmeric::domain
