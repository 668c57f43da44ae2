#pragma once

#include <cstdint>

namespace turmeric::domain
{

/// Returns the rank of a candidate for a key in rendezvous hashing: the
/// candidate with the highest rank is chosen. The result is the same on every
/// VM. Precondition: both values are digests made by `digest_of` or combined
/// from such. Thread safe.
[[nodiscard]] constexpr std::uint64_t rank_of(std::uint64_t key,
                                              std::uint64_t candidate)
{
    // The finalizer of a 64-bit hash (MurmurHash3) is enough, because the
    // inputs are hashes already.
    constexpr std::uint64_t first_factor = 0xff51afd7ed558ccdULL;
    constexpr std::uint64_t second_factor = 0xc4ceb9fe1a85ec53ULL;
    constexpr int shift = 33;
    std::uint64_t mixed = key ^ (candidate * first_factor);
    mixed ^= mixed >> shift;
    mixed *= first_factor;
    mixed ^= mixed >> shift;
    mixed *= second_factor;
    mixed ^= mixed >> shift;
    return mixed;
}

} // namespace turmeric::domain
