#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::metrics
{

/// Names, labels and limits of a family of metrics.
struct family_options
{
    std::string name;
    std::string help;
    std::vector<std::string> label_names;
    /// Beyond this many label sets, all new ones are counted in a shared set
    /// whose values are "other".
    std::size_t max_label_sets = 512;
    /// Histograms only: bounds of buckets that are rendered even if they are
    /// empty, so that alert rules can refer to them. Each is rounded up to a
    /// bound of `log_linear_layout`.
    std::vector<std::chrono::microseconds> pinned_bounds;
};

} // namespace turmeric::metrics
