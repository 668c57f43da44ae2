#pragma once

#include "libraries/core/metrics/log_linear_layout.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace turmeric::metrics
{

/// Counts durations in the buckets of `log_linear_layout`, in microseconds. A
/// quantile differs from the exact one by at most 3.125%. Takes 3.2 KB. Thread
/// safe and lock-free.
class histogram
{
public:
    static constexpr std::string_view type_name = "histogram";

    /// Records one duration; a negative one counts as zero. Thread safe.
    void record(std::chrono::microseconds duration);

    /// Returns the number of durations in one bucket. Precondition: `index` is
    /// below `log_linear_layout::bucket_count`. Thread safe.
    [[nodiscard]] std::uint64_t bucket(std::size_t index) const;

    /// Returns the number of recorded durations. Thread safe.
    [[nodiscard]] std::uint64_t count() const;

    /// Returns the sum of the recorded durations. Thread safe.
    [[nodiscard]] std::chrono::microseconds sum() const;

    /// Returns the midpoint of the bucket that contains the `fraction`
    /// quantile, or 0 if no duration was recorded. Precondition: `fraction` is
    /// from 0 to
    /// 1. Thread safe.
    [[nodiscard]] std::chrono::microseconds quantile(double fraction) const;

private:
    std::array<std::atomic<std::uint64_t>, log_linear_layout::bucket_count>
        m_buckets{};
    std::atomic<std::int64_t> m_sum{0};
};

} // namespace turmeric::metrics
