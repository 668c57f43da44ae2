#pragma once

#include <atomic>
#include <cstdint>
#include <string_view>

namespace turmeric::metrics
{

/// A monotonic count that starts at 0 in each process. Thread safe and
/// lock-free.
class counter
{
public:
    static constexpr std::string_view type_name = "counter";

    /// Adds `amount`. No precondition. Thread safe.
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /// Returns the count. Thread safe.
    [[nodiscard]] std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace turmeric::metrics
