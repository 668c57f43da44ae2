#include "libraries/codecs/move/field_reader.hpp"

#include <fmt/format.h>
#include <utility>

namespace turmeric::codecs
{

namespace
{

const json empty_array = json::array();
const json empty_object = json::object();

} // namespace

field_reader::field_reader(const json& object, std::string path,
                           result_code code)
    : m_object(object)
    , m_path(std::move(path))
    , m_code(code)
{
    if (!m_object.is_object())
    {
        m_first_error = error{m_code, m_path, "not an object"};
    }
}

std::int64_t field_reader::integer(std::string_view name)
{
    const json* value = find(name, &json::is_number_integer, "an integer");
    return value == nullptr ? 0 : value->get<std::int64_t>();
}

std::uint64_t field_reader::unsigned_integer(std::string_view name)
{
    const json* value =
        find(name, &json::is_number_unsigned, "a non-negative integer");
    return value == nullptr ? 0 : value->get<std::uint64_t>();
}

double field_reader::number(std::string_view name)
{
    const json* value = find(name, &json::is_number, "a number");
    return value == nullptr ? 0 : value->get<double>();
}

std::string field_reader::text(std::string_view name)
{
    const json* value = find(name, &json::is_string, "a string");
    return value == nullptr ? std::string() : value->get<std::string>();
}

bool field_reader::boolean(std::string_view name)
{
    const json* value = find(name, &json::is_boolean, "true or false");
    return value != nullptr && value->get<bool>();
}

const json& field_reader::array(std::string_view name)
{
    const json* value = find(name, &json::is_array, "an array");
    return value == nullptr ? empty_array : *value;
}

const json& field_reader::object(std::string_view name)
{
    const json* value = find(name, &json::is_object, "an object");
    return value == nullptr ? empty_object : *value;
}

bool field_reader::has(std::string_view name) const
{
    const auto found = m_object.find(name);
    return m_object.is_object() && found != m_object.end() && !found->is_null();
}

std::string field_reader::path_of(std::string_view name) const
{
    return m_path.empty() ? std::string(name)
                          : fmt::format("{}.{}", m_path, name);
}

void field_reader::reject(std::string_view name, std::string detail)
{
    if (!m_first_error)
    {
        m_first_error = error{m_code, path_of(name), std::move(detail)};
    }
}

void field_reader::adopt_error(const field_reader& inner)
{
    if (!m_first_error)
    {
        m_first_error = inner.m_first_error;
    }
}

const std::optional<error>& field_reader::first_error() const
{
    return m_first_error;
}

const json* field_reader::find(std::string_view name,
                               bool (json::*is_type)() const,
                               std::string_view type_name)
{
    if (!m_object.is_object())
    {
        return nullptr;
    }
    const auto found = m_object.find(name);
    if (found == m_object.end())
    {
        reject(name, fmt::format("missing; expected {}", type_name));
        return nullptr;
    }
    const json& value = *found;
    if (!(value.*is_type)())
    {
        reject(name, fmt::format("expected {}", type_name));
        return nullptr;
    }
    return &value;
}

} // namespace turmeric::codecs
