#pragma once

#include "libraries/codecs/burn/metrics_text.hpp"
#include "libraries/domain/burn/burn_calculator.hpp"
#include "libraries/domain/burn/burn_sample.hpp"

#include <set>
#include <string>
#include <vector>

namespace turmeric::codecs
{

/// Reduces one router's metrics to counts of good and bad events. Requests
/// count as bad when they failed through the system (5xx, or 429 for load);
/// refusals for the caller's own fault are no events. `accounts` get lines of
/// their own. The sample's time and router are left to the caller. Thread
/// safe.
[[nodiscard]] domain::burn_sample
read_burn_sample(const std::vector<metrics_line>& lines,
                 const domain::burn_calculator& objectives,
                 const std::set<std::string>& accounts);

} // namespace turmeric::codecs
