#pragma once

#include "libraries/codecs/burn/metrics_text.hpp"
#include "libraries/domain/burn/burn_calculator.hpp"
#include "libraries/domain/burn/burn_sample.hpp"

#include <set>
#include <string>
#include <vector>

namespace turmeric::codecs
{

/// Reduces one router's metrics to counts of all events and of bad events.
/// A request is a bad event if the service failed (5xx) or rejected it because
/// of load (429). A request that is rejected for a caller error is not an
/// event. Events are counted by route, and also by account for the accounts in
/// `accounts`. The caller of this function sets the sample's time and router.
/// Thread safe.
[[nodiscard]] domain::burn_sample
read_burn_sample(const std::vector<metrics_line>& lines,
                 const domain::burn_calculator& objectives,
                 const std::set<std::string>& accounts);

} // namespace turmeric::codecs
