#pragma once

#include "libraries/core/result.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// One sample line of the Prometheus text format.
struct metrics_line
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// Parses the Prometheus text format; skips comments and empty lines. Errors:
/// `peer_protocol` with the number of the malformed line. Thread safe.
result<std::vector<metrics_line>> parse_metrics(std::string_view text);

} // namespace turmeric::codecs
