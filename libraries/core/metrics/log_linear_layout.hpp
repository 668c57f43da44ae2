#pragma once

#include <cstddef>
#include <cstdint>

namespace turmeric::metrics
{

/// Maps values to buckets: each power of two is split into 16 equal buckets,
/// and values below 16 have a bucket of their own. A bucket is at most 1/16
/// as wide as its lower bound, so its middle is within 1/32 (3.125%) of each
/// value in it. Values are whole units, by convention microseconds. Thread
/// safe.
struct log_linear_layout
{
    static constexpr unsigned sub_bucket_bits = 4;
    static constexpr std::uint64_t sub_buckets = 1U << sub_bucket_bits;
    /// Values of 2^28 units (268 s in microseconds) and more share the last
    /// bucket.
    static constexpr unsigned value_bits = 28;
    static constexpr std::size_t bucket_count =
        (value_bits - sub_bucket_bits + 1) * sub_buckets;
    static constexpr double relative_error = 1.0 / (2.0 * sub_buckets);

    /// Returns the bucket of `value`. Thread safe.
    [[nodiscard]] static std::size_t index_of(std::uint64_t value);

    /// Returns the first value of a bucket. Precondition: `index` is below
    /// `bucket_count`. Thread safe.
    [[nodiscard]] static std::uint64_t lower_bound(std::size_t index);

    /// Returns the first value past a bucket. Precondition: as above. Thread
    /// safe.
    [[nodiscard]] static std::uint64_t upper_bound(std::size_t index);

    /// Returns the middle of a bucket. Precondition: as above. Thread safe.
    [[nodiscard]] static double midpoint(std::size_t index);
};

} // namespace turmeric::metrics
