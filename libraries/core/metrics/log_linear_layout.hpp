#pragma once

#include <cstddef>
#include <cstdint>

namespace turmeric::metrics
{

/// Maps values to buckets: the range from each power of two to the next is
/// split into 16 equal buckets, and each value below 16 has its own bucket. The
/// width of a bucket is at most 1/16 of its lower bound, so its midpoint is
/// within 1/32 (3.125%) of each value in it. Values are integers, by convention
/// microseconds. Thread safe.
struct log_linear_layout
{
    static constexpr unsigned sub_bucket_bits = 4;
    static constexpr std::uint64_t sub_buckets = 1U << sub_bucket_bits;
    /// Values from 2^28 on (268 s in microseconds) fall into the last bucket.
    static constexpr unsigned value_bits = 28;
    static constexpr std::size_t bucket_count =
        (value_bits - sub_bucket_bits + 1) * sub_buckets;
    static constexpr double relative_error = 1.0 / (2.0 * sub_buckets);

    /// Returns the index of the bucket of `value`. Thread safe.
    [[nodiscard]] static std::size_t index_of(std::uint64_t value);

    /// Returns the first value of a bucket. Precondition: `index` is below
    /// `bucket_count`. Thread safe.
    [[nodiscard]] static std::uint64_t lower_bound(std::size_t index);

    /// Returns the first value above a bucket. Precondition: `index` is below
    /// `bucket_count`. Thread safe.
    [[nodiscard]] static std::uint64_t upper_bound(std::size_t index);

    /// Returns the midpoint of a bucket. Precondition: `index` is below
    /// `bucket_count`. Thread safe.
    [[nodiscard]] static double midpoint(std::size_t index);
};

} // namespace turmeric::metrics
