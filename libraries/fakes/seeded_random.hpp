#pragma once

#include "libraries/ports/random_source.hpp"

#include <mutex>
#include <random>

namespace turmeric::fakes
{

/// A random source whose numbers are determined by a seed. Thread safe.
class seeded_random final : public ports::random_source
{
public:
    /// No precondition.
    explicit seeded_random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t next() override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_engine();
    }

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

} // namespace turmeric::fakes
