#pragma once

#include <cstdint>

namespace turmeric::domain
{

/// Returns the rank of a pair for rendezvous hashing: the member with the
/// highest rank wins. The same on every machine. Precondition: both are
/// digests made by `digest_of` or combined from such. Thread safe.
[[nodiscard]] constexpr std::uint64_t rank_of(std::uint64_t key,
                                              std::uint64_t candidate)
{
    // The finalizer of a 64-bit mix; the inputs are well mixed already.
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
