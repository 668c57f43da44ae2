#pragma once

#include <cstdint>

namespace turmeric::ports
{

/// Generates random numbers. Implementations are thread safe.
class random_source
{
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    virtual ~random_source() = default;

    /// Returns 64 uniformly distributed bits. Thread safe.
    virtual std::uint64_t next() = 0;
};

} // namespace turmeric::ports
