#include "libraries/core/metrics/log_linear_layout.hpp"

#include <algorithm>
#include <bit>

namespace turmeric::metrics
{

std::size_t log_linear_layout::index_of(std::uint64_t value)
{
    constexpr std::uint64_t max_value = (std::uint64_t{1} << value_bits) - 1;
    const std::uint64_t bounded = std::min(value, max_value);
    if (bounded < sub_buckets)
    {
        return static_cast<std::size_t>(bounded);
    }
    const unsigned shift =
        static_cast<unsigned>(std::bit_width(bounded)) - 1 - sub_bucket_bits;
    const std::uint64_t sub = (bounded >> shift) - sub_buckets;
    return static_cast<std::size_t>((shift + 1) * sub_buckets + sub);
}

std::uint64_t log_linear_layout::lower_bound(std::size_t index)
{
    if (index < sub_buckets)
    {
        return index;
    }
    const std::uint64_t shift = index / sub_buckets - 1;
    return (sub_buckets + index % sub_buckets) << shift;
}

std::uint64_t log_linear_layout::upper_bound(std::size_t index)
{
    return lower_bound(index + 1);
}

double log_linear_layout::midpoint(std::size_t index)
{
    if (index < sub_buckets)
    {
        return static_cast<double>(index);
    }
    return (static_cast<double>(lower_bound(index)) +
            static_cast<double>(upper_bound(index))) /
           2.0;
}

} // namespace turmeric::metrics
