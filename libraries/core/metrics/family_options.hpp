#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::metrics
{

/// How a family of metrics is named and bounded.
struct family_options
{
    std::string name;
    std::string help;
    std::vector<std::string> label_names;
    /// Past this many label sets, new ones share the values "other".
    std::size_t max_label_sets = 512;
    /// Histograms only: bucket bounds that are rendered even when empty, so
    /// that rules may name them; each is rounded up to a bound of the layout.
    std::vector<std::chrono::microseconds> pinned_bounds;
};

} // namespace turmeric::metrics
