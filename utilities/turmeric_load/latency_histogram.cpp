#include "utilities/turmeric_load/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace turmeric::load
{

namespace
{

/// Buckets for each doubling of the duration.
constexpr double buckets_per_octave = 64.0;

} // namespace

void latency_histogram::add(std::chrono::nanoseconds duration)
{
    const double microseconds =
        std::chrono::duration<double, std::micro>(duration).count();
    const double place =
        std::log2(std::max(microseconds, 1.0)) * buckets_per_octave;
    const std::size_t bucket =
        std::min(static_cast<std::size_t>(place), bucket_count - 1);
    ++m_buckets.at(bucket);
    ++m_count;
}

std::chrono::microseconds latency_histogram::percentile(double share) const
{
    const std::uint64_t wanted = static_cast<std::uint64_t>(
        std::ceil(share * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < bucket_count && m_count > 0; ++bucket)
    {
        seen += m_buckets.at(bucket);
        if (seen >= wanted && seen > 0)
        {
            const double upper =
                std::exp2(static_cast<double>(bucket + 1) / buckets_per_octave);
            return std::chrono::microseconds(
                static_cast<std::int64_t>(std::lround(upper)));
        }
    }
    return std::chrono::microseconds(0);
}

std::uint64_t latency_histogram::count() const
{
    return m_count;
}

} // namespace turmeric::load
