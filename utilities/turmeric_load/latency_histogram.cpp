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
    const double position =
        std::log2(std::max(microseconds, 1.0)) * buckets_per_octave;
    const std::size_t bucket =
        std::min(static_cast<std::size_t>(position), bucket_count - 1);
    ++m_buckets.at(bucket);
    ++m_count;
}

std::chrono::microseconds latency_histogram::percentile(double fraction) const
{
    const std::uint64_t rank = static_cast<std::uint64_t>(
        std::ceil(fraction * static_cast<double>(m_count)));
    std::uint64_t cumulative_count = 0;
    for (std::size_t bucket = 0; bucket < bucket_count && m_count > 0; ++bucket)
    {
        cumulative_count += m_buckets.at(bucket);
        if (cumulative_count >= rank && cumulative_count > 0)
        {
            const double upper_bound =
                std::exp2(static_cast<double>(bucket + 1) / buckets_per_octave);
            return std::chrono::microseconds(
                static_cast<std::int64_t>(std::lround(upper_bound)));
        }
    }
    return std::chrono::microseconds(0);
}

std::uint64_t latency_histogram::count() const
{
    return m_count;
}

} // namespace turmeric::load
