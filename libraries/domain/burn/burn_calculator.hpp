#pragma once

#include "libraries/domain/burn/burn_history.hpp"
#include "libraries/domain/burn/burn_report.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <map>
#include <string>

namespace turmeric::domain
{

/// Computes the burn rates of error budgets from samples. Thread safe: the
/// class has no state except for the objectives.
class burn_calculator
{
public:
    /// `objectives` has the objective of each route by name; other routes have
    /// the default objective.
    explicit burn_calculator(
        std::map<std::string, objective_declaration> objectives);

    /// Returns the target share of good events of this route and kind. Thread
    /// safe.
    [[nodiscard]] double target_of(const burn_key& key) const;

    /// Returns the objective of a route. Thread safe.
    [[nodiscard]] objective_declaration
    objective_of(const std::string& route) const;

    /// Returns the report as of `now`. Thread safe.
    [[nodiscard]] burn_report
    report(const burn_history& history,
           std::chrono::system_clock::time_point now) const;

private:
    std::map<std::string, objective_declaration> m_objectives;
};

} // namespace turmeric::domain
