#pragma once

#include "libraries/domain/burn/burn_calculator.hpp"
#include "libraries/domain/burn/burn_report.hpp"

#include <string>
#include <vector>

namespace turmeric::burn
{

/// Returns the report as a table for a terminal. Thread safe.
[[nodiscard]] std::string to_text(const domain::burn_report& report);

/// Returns the report as JSON. Thread safe.
[[nodiscard]] std::string to_json_text(const domain::burn_report& report);

/// Returns the report as one self-contained HTML page. Thread safe.
[[nodiscard]] std::string to_html(const domain::burn_report& report);

/// Returns alerting rules for `routes` in the format of Prometheus. Thread
/// safe.
[[nodiscard]] std::string to_rules(const std::vector<std::string>& routes,
                                   const domain::burn_calculator& objectives);

} // namespace turmeric::burn
