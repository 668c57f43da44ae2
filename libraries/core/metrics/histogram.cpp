#include "libraries/core/metrics/histogram.hpp"

#include <algorithm>
#include <cmath>

namespace turmeric::metrics
{

void histogram::record(std::chrono::microseconds duration)
{
    const std::int64_t value = std::max<std::int64_t>(0, duration.count());
    const std::size_t index =
        log_linear_layout::index_of(static_cast<std::uint64_t>(value));
    m_buckets[index].fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(value, std::memory_order_relaxed);
}

std::uint64_t histogram::bucket(std::size_t index) const
{
    return m_buckets[index].load(std::memory_order_relaxed);
}

std::uint64_t histogram::count() const
{
    std::uint64_t total = 0;
    for (const std::atomic<std::uint64_t>& bucket : m_buckets)
    {
        total += bucket.load(std::memory_order_relaxed);
    }
    return total;
}

std::chrono::microseconds histogram::sum() const
{
    return std::chrono::microseconds(m_sum.load(std::memory_order_relaxed));
}

std::chrono::microseconds histogram::quantile(double fraction) const
{
    const double exact_rank =
        std::ceil(fraction * static_cast<double>(count()));
    const std::uint64_t rank =
        std::max<std::uint64_t>(1, static_cast<std::uint64_t>(exact_rank));
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < m_buckets.size(); ++index)
    {
        cumulative += bucket(index);
        if (cumulative >= rank)
        {
            return std::chrono::microseconds(
                std::llround(log_linear_layout::midpoint(index)));
        }
    }
    return std::chrono::microseconds(0);
}

} // namespace turmeric::metrics
