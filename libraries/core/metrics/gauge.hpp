#pragma once

#include <atomic>
#include <cstdint>
#include <string_view>

namespace turmeric::metrics
{

/// A value that can go up and down. Thread safe and lock-free.
class gauge
{
public:
    static constexpr std::string_view type_name = "gauge";

    /// Sets the value. No precondition. Thread safe.
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    /// Adds `amount`, which may be negative, to the value. No precondition.
    /// Thread safe.
    void add(std::int64_t amount)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /// Returns the value. Thread safe.
    [[nodiscard]] std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value{0};
};

} // namespace turmeric::metrics
