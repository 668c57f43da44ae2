#pragma once

#include "libraries/ports/random_source.hpp"

namespace turmeric::drivers
{

/// Returns a random number that is uniformly distributed in [0, 1). Thread
/// safe.
[[nodiscard]] inline double random_fraction(ports::random_source& random)
{
    constexpr int unused_bits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(random.next() >> unused_bits) * scale;
}

} // namespace turmeric::drivers
