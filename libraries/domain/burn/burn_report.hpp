#pragma once

#include "libraries/domain/burn/burn_counts.hpp"
#include "libraries/domain/burn/burn_rules.hpp"

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// One window of one objective.
struct window_burn
{
    burn_counts counts;
    /// Bad share as a multiple of the share that the objective allows; unset
    /// without events.
    std::optional<double> rate;
};

/// A point of an objective's plot.
struct burn_point
{
    std::chrono::system_clock::time_point time;
    /// Burn over the hour before.
    std::optional<double> rate;
};

/// One objective of one route, over all client accounts or one.
struct objective_burn
{
    burn_key key;
    /// The share of events that is to be good.
    double target = 0;
    std::array<window_burn, burn_windows.size()> windows;
    /// Of the budget of the longest window, what is left: 1 is all of it,
    /// below 0 it is overspent. Unset without events.
    std::optional<double> budget_left;
    alert_severity alert = alert_severity::none;
    std::vector<burn_point> points;
};

/// The report on service-level burn.
struct burn_report
{
    std::chrono::system_clock::time_point time;
    /// How far back the samples go, at most the longest window.
    std::chrono::seconds covered{0};
    std::vector<objective_burn> objectives;
    std::set<std::string> missing_routers;
    std::map<std::string, int> restarts;
    /// The most urgent of all alerts.
    alert_severity alert = alert_severity::none;
};

} // namespace turmeric::domain
