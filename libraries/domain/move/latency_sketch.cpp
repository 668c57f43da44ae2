#include "libraries/domain/move/latency_sketch.hpp"

#include "libraries/core/metrics/log_linear_layout.hpp"

#include <algorithm>
#include <cmath>

namespace turmeric::domain
{

namespace
{

using layout = metrics::log_linear_layout;

std::uint16_t bucket_of(std::chrono::microseconds duration)
{
    const std::int64_t value = std::max<std::int64_t>(0, duration.count());
    return static_cast<std::uint16_t>(
        layout::index_of(static_cast<std::uint64_t>(value)));
}

} // namespace

void latency_sketch::record(std::chrono::microseconds duration)
{
    add_bucket(bucket_of(duration), 1);
}

void latency_sketch::add_bucket(std::uint16_t index, std::int64_t count)
{
    constexpr std::uint16_t last = layout::bucket_count - 1;
    m_buckets[std::min(index, last)] += count;
    m_count += count;
}

void latency_sketch::merge(const latency_sketch& other)
{
    for (const auto& [index, count] : other.m_buckets)
    {
        add_bucket(index, count);
    }
}

std::int64_t latency_sketch::count() const
{
    return m_count;
}

std::chrono::microseconds latency_sketch::quantile(double share) const
{
    const auto rank = static_cast<std::int64_t>(
        std::ceil(share * static_cast<double>(m_count)));
    std::int64_t cumulative = 0;
    for (const auto& [index, count] : m_buckets)
    {
        cumulative += count;
        if (cumulative >= std::max<std::int64_t>(rank, 1))
        {
            return std::chrono::microseconds(layout::upper_bound(index) - 1);
        }
    }
    return std::chrono::microseconds(0);
}

proportion latency_sketch::above(std::chrono::microseconds limit) const
{
    proportion result{m_count, 0};
    for (auto entry = m_buckets.upper_bound(bucket_of(limit));
         entry != m_buckets.end(); ++entry)
    {
        result.hits += entry->second;
    }
    return result;
}

const std::map<std::uint16_t, std::int64_t>& latency_sketch::buckets() const
{
    return m_buckets;
}

} // namespace turmeric::domain
