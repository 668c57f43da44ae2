#pragma once

#include "libraries/core/metrics/counter.hpp"
#include "libraries/core/metrics/family_options.hpp"
#include "libraries/core/metrics/gauge.hpp"
#include "libraries/core/metrics/histogram.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace turmeric::metrics
{

/// Appends the HELP and TYPE lines of a family. Thread safe.
void append_header(std::string& out, const family_options& options,
                   std::string_view type_name);

/// Returns `name="value",...` with the values escaped. Precondition: there are
/// as many values as names. Thread safe.
[[nodiscard]] std::string format_labels(const std::vector<std::string>& names,
                                        const std::vector<std::string>& values);

/// Returns the `le` label, in seconds, of the bucket that contains `bound`: the
/// smallest bound of the layout that is at least `bound`. Thread safe.
[[nodiscard]] std::string format_bound(std::chrono::microseconds bound);

/// Appends a counter's line. Thread safe.
void append_samples(std::string& out, const family_options& options,
                    const std::string& labels, const counter& metric);

/// Appends a gauge's line. Thread safe.
void append_samples(std::string& out, const family_options& options,
                    const std::string& labels, const gauge& metric);

/// Appends a histogram's lines: the buckets that are pinned or not empty, the
/// sum in seconds and the count. Thread safe.
void append_samples(std::string& out, const family_options& options,
                    const std::string& labels, const histogram& metric);

} // namespace turmeric::metrics
