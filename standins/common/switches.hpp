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

/// A fault switch: its name in JSON and the member that holds its value.
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

/// Sets `target` to the boolean in `source`. Returns false, and leaves `target`
/// unchanged, if the JSON type does not match.
inline bool assign_switch(const json& source, bool& target)
{
    if (!source.is_boolean())
    {
        return false;
    }
    target = source.get<bool>();
    return true;
}

/// Sets `target` to a non-negative integer. Returns false for any other value.
inline bool assign_switch(const json& source, std::int64_t& target)
{
    if (!source.is_number_integer() || source.get<std::int64_t>() < 0)
    {
        return false;
    }
    target = source.get<std::int64_t>();
    return true;
}

/// Sets `target` to a non-negative number. Returns false for any other value.
inline bool assign_switch(const json& source, double& target)
{
    if (!source.is_number() || source.get<double>() < 0)
    {
        return false;
    }
    target = source.get<double>();
    return true;
}

/// Sets `target` to a non-negative number, or clears it if `source` is null.
/// Returns false for any other value.
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

/// Sets the switches that `change` names and keeps the others. On an error,
/// which names the field, no switch changes. Thread safe on separate objects.
template <class Switches>
status apply_switches(std::span<const switch_field<Switches>> fields,
                      const json& change, Switches& switches)
{
    if (!change.is_object())
    {
        return error{result_code::malformed_body, "",
                     "body is not a JSON object"};
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
                         is_known
                             ? "value has the wrong type or is out of range"
                             : "unknown fault switch"};
        }
    }
    switches = changed;
    return success();
}

/// Returns the value of a switch as JSON.
template <class Value>
json switch_to_json(const Value& value)
{
    return value;
}

/// Returns the value of an optional switch as JSON, null if it is not set.
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
    json document = json::object();
    for (const switch_field<Switches>& field : fields)
    {
        std::visit(
            [&document, &field, &switches](auto member_pointer)
            {
                document[std::string(field.name)] =
                    switch_to_json(switches.*member_pointer);
            },
            field.member_pointer);
    }
    return document;
}

} // namespace turmeric::standins
