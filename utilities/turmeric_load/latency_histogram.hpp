#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmeric::load
{

/// Counts durations in buckets that are about 1% wide. Not thread safe.
class latency_histogram
{
public:
    /// Counts one duration; one below 1 us counts as 1 us.
    void add(std::chrono::nanoseconds duration);

    /// Returns the duration that `fraction` of the counted durations do not
    /// exceed; 0 if none was counted. Precondition: `fraction` is within 0
    /// and 1.
    [[nodiscard]] std::chrono::microseconds percentile(double fraction) const;

    /// Returns how many durations were counted.
    [[nodiscard]] std::uint64_t count() const;

private:
    static constexpr std::size_t bucket_count = 2'048;

    std::array<std::uint64_t, bucket_count> m_buckets{};
    std::uint64_t m_count = 0;
};

} // namespace turmeric::load
