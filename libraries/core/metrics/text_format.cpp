#include "libraries/core/metrics/text_format.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <set>

namespace turmeric::metrics
{

namespace
{

constexpr double microseconds_per_second = 1e6;

std::string escaped(const std::string& value)
{
    std::string text;
    for (const char character : value)
    {
        if (character == '\n')
        {
            text += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
        {
            text += '\\';
        }
        text += character;
    }
    return text;
}

std::string in_braces(const std::string& labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

/// Returns the value of a bucket's `le` label. The layout's buckets exclude
/// their upper bound, whereas `le` is inclusive. Values are integers, so the
/// inclusive bound is one unit below the next bucket.
std::string format_inclusive_bound(std::size_t index)
{
    const double last =
        static_cast<double>(log_linear_layout::upper_bound(index) - 1);
    return fmt::format("{:.6f}", last / microseconds_per_second);
}

std::size_t index_of_bound(std::chrono::microseconds bound)
{
    const std::int64_t value = std::max<std::int64_t>(0, bound.count());
    return log_linear_layout::index_of(static_cast<std::uint64_t>(value));
}

template <class Value>
void append_line(std::string& out, const std::string& name,
                 const std::string& labels, Value value)
{
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", name,
                   in_braces(labels), value);
}

} // namespace

void append_header(std::string& out, const family_options& options,
                   std::string_view type_name)
{
    fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n",
                   options.name, options.help, options.name, type_name);
}

std::string format_labels(const std::vector<std::string>& names,
                          const std::vector<std::string>& values)
{
    std::string text;
    for (std::size_t index = 0; index < names.size(); ++index)
    {
        text += fmt::format("{}{}=\"{}\"", index == 0 ? "" : ",", names[index],
                            escaped(values[index]));
    }
    return text;
}

std::string format_bound(std::chrono::microseconds bound)
{
    return format_inclusive_bound(index_of_bound(bound));
}

void append_samples(std::string& out, const family_options& options,
                    const std::string& labels, const counter& metric)
{
    append_line(out, options.name, labels, metric.value());
}

void append_samples(std::string& out, const family_options& options,
                    const std::string& labels, const gauge& metric)
{
    append_line(out, options.name, labels, metric.value());
}

void append_samples(std::string& out, const family_options& options,
                    const std::string& labels, const histogram& metric)
{
    std::set<std::size_t> pinned;
    for (const std::chrono::microseconds bound : options.pinned_bounds)
    {
        pinned.insert(index_of_bound(bound));
    }
    const std::string prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t total = 0;
    for (std::size_t index = 0; index + 1 < log_linear_layout::bucket_count;
         ++index)
    {
        const std::uint64_t count = metric.bucket(index);
        total += count;
        if (count > 0 || pinned.contains(index))
        {
            append_line(out, options.name + "_bucket",
                        fmt::format("{}le=\"{}\"", prefix,
                                    format_inclusive_bound(index)),
                        total);
        }
    }
    total += metric.bucket(log_linear_layout::bucket_count - 1);
    append_line(out, options.name + "_bucket", prefix + "le=\"+Inf\"", total);
    const double seconds =
        static_cast<double>(metric.sum().count()) / microseconds_per_second;
    append_line(out, options.name + "_sum", labels, seconds);
    append_line(out, options.name + "_count", labels, total);
}

} // namespace turmeric::metrics
