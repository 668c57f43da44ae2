#pragma once

#include "libraries/codecs/configuration/fields.hpp"

#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace turmeric::codecs
{

/// A declared type: one with fields in `fields_of`.
template <class Type>
concept declared_type =
    (std::tuple_size_v<std::remove_cvref_t<decltype(fields_of<Type>)>> > 0);

template <declared_type Type>
json encode_value(const Type& object);
template <declared_type Type>
status decode_value(const json& from, const json_location& location,
                    Type& into);

/// Encodes a list. Thread safe.
template <class Element>
json encode_value(const std::vector<Element>& list)
{
    json encoded = json::array();
    for (const Element& element : list)
    {
        encoded.push_back(encode_value(element));
    }
    return encoded;
}

/// Decodes a list; the path of an element ends in its index. Thread safe.
template <class Element>
status decode_value(const json& from, const json_location& location,
                    std::vector<Element>& into)
{
    if (!from.is_array())
    {
        return unexpected_value(location, "expected an array");
    }
    into.clear();
    for (const json& element : from)
    {
        const json_location inner{location.code,
                                  location.path + '[' +
                                      std::to_string(into.size()) + ']'};
        Element decoded{};
        status read = decode_value(element, inner, decoded);
        if (!read)
        {
            return read;
        }
        into.push_back(std::move(decoded));
    }
    return success();
}

/// Encodes an object with all of its fields. Thread safe.
template <declared_type Type>
json encode_value(const Type& object)
{
    json encoded = json::object();
    std::apply(
        [&](const auto&... fields)
        {
            ((encoded[std::string(fields.name)] =
                  encode_value(object.*fields.member)),
             ...);
        },
        fields_of<Type>);
    return encoded;
}

/// Returns the location of the field `name` in the object at `location`.
/// Thread safe.
[[nodiscard]] json_location child_location(const json_location& location,
                                           std::string_view name);

/// Decodes one field of an object. An optional field that is missing keeps its
/// value in `into`. Thread safe.
template <class Owner, class Member>
status decode_field(const json& from, const json_location& location,
                    const field<Owner, Member>& read, Owner& into)
{
    const json_location inner = child_location(location, read.name);
    auto found = from.find(std::string(read.name));
    if (found != from.end())
    {
        return decode_value(*found, inner, into.*read.member);
    }
    if (read.requirement == presence::required)
    {
        return unexpected_value(inner, "this field is required but missing");
    }
    return success();
}

/// Tells whether the type has a field of that name. Thread safe.
template <declared_type Type>
bool has_field(std::string_view name)
{
    return std::apply([name](const auto&... fields)
                      { return ((fields.name == name) || ...); },
                      fields_of<Type>);
}

/// Decodes an object. Optional fields that are missing keep their values in
/// `into`; unknown fields are errors. Thread safe.
template <declared_type Type>
status decode_value(const json& from, const json_location& location, Type& into)
{
    if (!from.is_object())
    {
        return unexpected_value(location, "expected an object");
    }
    for (const auto& [name, value] : from.items())
    {
        if (!has_field<Type>(name))
        {
            return unexpected_value(child_location(location, name),
                                    "this field is unknown");
        }
    }
    status read = success();
    std::apply(
        [&](const auto&... fields)
        {
            (void)((read = decode_field(from, location, fields, into),
                    read.has_value()) &&
                   ...);
        },
        fields_of<Type>);
    return read;
}

} // namespace turmeric::codecs
