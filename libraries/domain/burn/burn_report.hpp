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

/// The burn rate of one objective over one window.
struct window_burn
{
    burn_counts counts;
    /// The share of bad events as a multiple of the share that the objective
    /// allows; unset without events.
    std::optional<double> rate;
};

/// A point of the plot of an objective's burn rate.
struct burn_point
{
    std::chrono::system_clock::time_point time;
    /// Burn rate over the hour before `time`; unset without events.
    std::optional<double> rate;
};

/// The burn rates of one objective of one route, for all client accounts
/// together or for one.
struct objective_burn
{
    burn_key key;
    /// The target share of good events.
    double target = 0;
    std::array<window_burn, burn_windows.size()> windows;
    /// The part of the error budget of the longest window that is left: 1 is
    /// all of it, below 0 it is overspent. Unset without events.
    std::optional<double> budget_left;
    alert_severity alert = alert_severity::none;
    std::vector<burn_point> points;
};

/// The report on the burn rates of all service-level objectives.
struct burn_report
{
    std::chrono::system_clock::time_point time;
    /// How far back the samples go, but at most the longest window.
    std::chrono::seconds covered{0};
    std::vector<objective_burn> objectives;
    std::set<std::string> missing_routers;
    std::map<std::string, int> restarts;
    /// The most urgent of all alerts.
    alert_severity alert = alert_severity::none;
};

} // namespace turmeric::domain
