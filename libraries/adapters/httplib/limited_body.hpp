#pragma once

#include <cstddef>
#include <string>

namespace turmeric::adapters
{

/// Collects the body of a response up to a limit, for clients whose library
/// has none. Not thread safe.
class limited_body
{
public:
    /// `max_bytes` is the limit. No precondition.
    explicit limited_body(std::size_t max_bytes)
        : m_max_bytes(max_bytes)
    {
    }

    /// Appends `size` bytes and returns true, or returns false if the body
    /// would exceed its limit. Precondition: `data` has `size` bytes.
    bool append(const char* data, std::size_t size)
    {
        if (size > m_max_bytes - m_text.size())
        {
            return false;
        }
        m_text.append(data, size);
        return true;
    }

    /// Returns what was collected. No precondition.
    [[nodiscard]] const std::string& text() const
    {
        return m_text;
    }

private:
    std::size_t m_max_bytes;
    std::string m_text;
};

} // namespace turmeric::adapters
