#pragma once

#include "libraries/ports/random_source.hpp"

#include <mutex>
#include <random>

namespace turmeric::adapters
{

/// A seeded generator for jitter and placing, not for secrets. Thread safe.
class system_random final : public ports::random_source
{
public:
    /// Seeds from the machine's entropy.
    system_random();

    /// Returns 64 random bits. Thread safe.
    std::uint64_t next() override;

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

} // namespace turmeric::adapters
