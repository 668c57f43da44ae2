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
struct switch_field
{
    using pointer =
        std::variant<bool Switches::*, std::int64_t Switches::*,
                     double Switches::*, std::optional<double> Switches::*,
                     std::optional<std::int64_t> Switches::*>;
    std::string_view name;
    pointer member_pointer;
};

/// Reads `from` into `into`; false when the JSON type does not fit.
inline bool assign_switch(const json& source, bool& target)
{
    if (!source.is_boolean())
    {
        return false;
    }
    target = source.get<bool>();
    return true;
}

/// Reads a whole number that is not negative.
inline bool assign_switch(const json& source, std::int64_t& target)
{
    if (!source.is_number_integer() || source.get<std::int64_t>() < 0)
    {
        return false;
    }
    target = source.get<std::int64_t>();
    return true;
}

/// Reads a number that is not negative.
inline bool assign_switch(const json& source, double& target)
{
    if (!source.is_number() || source.get<double>() < 0)
    {
        return false;
    }
    target = source.get<double>();
    return true;
}

/// Reads a number, or null for none.
template <class Number>
bool assign_switch(const json& source, std::optional<Number>& target)
{
    if (source.is_null())
    {
        target = std::nullopt;
        return true;
    }
    Number number{};
    if (!assign_switch(source, number))
    {
        return false;
    }
    target = number;
    return true;
}

/// Sets the switches that `change` names and leaves the others; a fault
/// names the field and changes nothing. Thread safe on separate objects.
template <class Switches>
status apply_switches(std::span<const switch_field<Switches>> fields,
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
        for (const switch_field<Switches>& field : fields)
        {
            if (field.name != name)
            {
                continue;
            }
            is_known = true;
            is_valid = std::visit(
                [&changed, &source = value](auto member_pointer)
                { return assign_switch(source, changed.*member_pointer); },
                field.member_pointer);
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
json switches_to_json(std::span<const switch_field<Switches>> fields,
                      const Switches& switches)
{
    json shown = json::object();
    for (const switch_field<Switches>& field : fields)
    {
        std::visit(
            [&shown, &field, &switches](auto member_pointer) {
                shown[std::string(field.name)] =
                    switch_to_json(switches.*member_pointer);
            },
            field.member_pointer);
    }
    return shown;
}

} // namespace turmeric::standins
