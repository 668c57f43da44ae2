#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace turmeric::standins
{

/// A named member of a set of fault switches.
template <class Switches>
struct switch_row
{
    using member =
        std::variant<bool Switches::*, std::int64_t Switches::*,
                     double Switches::*, std::optional<double> Switches::*,
                     std::optional<std::int64_t> Switches::*>;
    std::string_view name;
    member place;
};

/// Reads `from` into `into`; false when the JSON type does not fit.
inline bool assign_switch(const json& from, bool& into)
{
    if (!from.is_boolean())
    {
        return false;
    }
    into = from.get<bool>();
    return true;
}

/// Reads a whole number that is not negative.
inline bool assign_switch(const json& from, std::int64_t& into)
{
    if (!from.is_number_integer() || from.get<std::int64_t>() < 0)
    {
        return false;
    }
    into = from.get<std::int64_t>();
    return true;
}

/// Reads a number that is not negative.
inline bool assign_switch(const json& from, double& into)
{
    if (!from.is_number() || from.get<double>() < 0)
    {
        return false;
    }
    into = from.get<double>();
    return true;
}

/// Reads a number, or null for none.
template <class Number>
bool assign_switch(const json& from, std::optional<Number>& into)
{
    if (from.is_null())
    {
        into = std::nullopt;
        return true;
    }
    Number number{};
    if (!assign_switch(from, number))
    {
        return false;
    }
    into = number;
    return true;
}

/// Sets the switches that `change` names and leaves the others; a fault
/// names the field and changes nothing. Thread safe on separate objects.
template <class Switches>
status apply_switches(std::span<const switch_row<Switches>> rows,
                      const json& change, Switches& switches)
{
    if (!change.is_object())
    {
        return error{result_code::malformed_body, "", "not a JSON object"};
    }
    Switches changed = switches;
    for (const auto& [name, value] : change.items())
    {
        bool is_known = false;
        bool is_valid = false;
        for (const switch_row<Switches>& row : rows)
        {
            if (row.name != name)
            {
                continue;
            }
            is_known = true;
            is_valid =
                std::visit([&changed, &from = value](auto place)
                           { return assign_switch(from, changed.*place); },
                           row.place);
        }
        if (!is_valid)
        {
            return error{result_code::invalid_field, name,
                         is_known ? "a value of the wrong type or range"
                                  : "no such switch"};
        }
    }
    switches = changed;
    return success();
}

/// Returns a switch as JSON.
template <class Value>
json switch_to_json(const Value& value)
{
    return value;
}

/// Returns an optional switch as JSON.
template <class Number>
json switch_to_json(const std::optional<Number>& value)
{
    return value ? json(*value) : json();
}

/// Returns all switches as JSON. Thread safe on separate objects.
template <class Switches>
json show_switches(std::span<const switch_row<Switches>> rows,
                   const Switches& switches)
{
    json shown = json::object();
    for (const switch_row<Switches>& row : rows)
    {
        std::visit(
            [&shown, &row, &switches](auto place)
            { shown[std::string(row.name)] = switch_to_json(switches.*place); },
            row.place);
    }
    return shown;
}

} // namespace turmeric::standins
