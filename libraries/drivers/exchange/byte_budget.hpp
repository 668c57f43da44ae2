#pragma once

#include <cstddef>

namespace turmeric::drivers
{

/// Limits the memory that several users take together. Not thread safe.
class byte_budget
{
public:
    /// `max_bytes` is the limit. No precondition.
    explicit byte_budget(std::size_t max_bytes)
        : m_free_bytes(max_bytes)
    {
    }

    /// Takes `bytes` and returns true, or returns false if fewer are free. No
    /// precondition.
    [[nodiscard]] bool try_take(std::size_t bytes)
    {
        if (bytes > m_free_bytes)
        {
            return false;
        }
        m_free_bytes -= bytes;
        return true;
    }

    /// Gives bytes back. Precondition: they were taken.
    void give_back(std::size_t bytes)
    {
        m_free_bytes += bytes;
    }

private:
    std::size_t m_free_bytes;
};

} // namespace turmeric::drivers
