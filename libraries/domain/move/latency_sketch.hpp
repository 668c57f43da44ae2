#pragma once

#include "libraries/domain/move/proportion.hpp"

#include <chrono>
#include <cstdint>
#include <map>

namespace turmeric::domain
{

/// A histogram of durations with the buckets of `metrics::log_linear_layout`.
/// It is bounded in size and merges without loss; its quantiles are within
/// 3.125%. Not thread safe; a value type.
class latency_sketch
{
public:
    /// Counts one duration; a negative one counts as zero.
    void record(std::chrono::microseconds duration);

    /// Adds `count` durations to one bucket; an index out of range stands for
    /// the last bucket. Used to decode a received sketch.
    void add_bucket(std::uint16_t index, std::int64_t count);

    /// Adds the durations of another sketch. Precondition: no duration was
    /// counted in both.
    void merge(const latency_sketch& other);

    /// Returns how many durations were counted.
    [[nodiscard]] std::int64_t count() const;

    /// Returns the longest duration of the bucket that contains the `share`
    /// quantile, or 0 when nothing was counted. Precondition: `share` is from
    /// 0 to 1.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;

    /// Returns how many of the durations are in buckets above that of `limit`.
    [[nodiscard]] proportion above(std::chrono::microseconds limit) const;

    /// Returns the counts by bucket index; empty buckets are left out.
    [[nodiscard]] const std::map<std::uint16_t, std::int64_t>& buckets() const;

    bool operator==(const latency_sketch&) const = default;

private:
    std::map<std::uint16_t, std::int64_t> m_buckets;
    std::int64_t m_count = 0;
};

} // namespace turmeric::domain
