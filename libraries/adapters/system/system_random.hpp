#pragma once

#include "libraries/ports/random_source.hpp"

#include <mutex>
#include <random>

namespace turmeric::adapters
{

/// A pseudo-random generator for jitter and placement. It is not suitable for
/// secrets. Thread safe.
class system_random final : public ports::random_source
{
public:
    /// Seeds the generator from the entropy of the operating system.
    system_random();

    /// Returns 64 random bits. Thread safe.
    std::uint64_t next() override;

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

} // namespace turmeric::adapters
