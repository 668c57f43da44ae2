#include "libraries/codecs/configuration/field_values.hpp"

#include "libraries/codecs/configuration/utc_time.hpp"

#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace turmeric::codecs
{

namespace
{

/// Returns the value of a JSON integer or of a decimal string; nothing if it is
/// neither or does not fit into 64 bits.
std::optional<std::int64_t> parse_integer(const json& from)
{
    constexpr std::uint64_t max = std::numeric_limits<std::int64_t>::max();
    if (from.is_number_unsigned() && from.get<std::uint64_t>() > max)
    {
        return std::nullopt;
    }
    if (from.is_number_integer())
    {
        return from.get<std::int64_t>();
    }
    if (!from.is_string())
    {
        return std::nullopt;
    }
    const auto& text = from.get_ref<const std::string&>();
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result read =
        std::from_chars(text.data(), end, value);
    const bool is_complete = read.ec == std::errc{} && read.ptr == end;
    return is_complete ? std::optional(value) : std::nullopt;
}

template <class Duration>
status decode_duration(const json& from, const json_location& location,
                       Duration& into)
{
    std::int64_t count = 0;
    status decoded = decode_value(from, location, count);
    if (decoded)
    {
        into = Duration(count);
    }
    return decoded;
}

template <class Enum, std::size_t Count>
status decode_enum(const json& from, const json_location& location,
                   const std::array<Enum, Count>& values, Enum& into)
{
    std::string expectation = "expected one of";
    for (const Enum value : values)
    {
        if (from.is_string() &&
            from.get_ref<const std::string&>() == name_of(value))
        {
            into = value;
            return success();
        }
        expectation += " \"" + std::string(name_of(value)) + '"';
    }
    return unexpected_value(location, expectation);
}

} // namespace

error unexpected_value(const json_location& location,
                       const std::string& expectation)
{
    return error{location.code, location.path, expectation};
}

json encode_value(bool value)
{
    return value;
}

json encode_value(std::int32_t value)
{
    return value;
}

json encode_value(std::int64_t value)
{
    return value;
}

json encode_value(double value)
{
    return value;
}

json encode_value(const std::string& value)
{
    return value;
}

json encode_value(std::chrono::milliseconds value)
{
    return value.count();
}

json encode_value(std::chrono::seconds value)
{
    return value.count();
}

json encode_value(std::chrono::system_clock::time_point value)
{
    return format_utc_time(value);
}

json encode_value(domain::route_kind value)
{
    return name_of(value);
}

json encode_value(domain::upstream_state value)
{
    return name_of(value);
}

status decode_value(const json& from, const json_location& location, bool& into)
{
    if (!from.is_boolean())
    {
        return unexpected_value(location, "expected true or false");
    }
    into = from.get<bool>();
    return success();
}

status decode_value(const json& from, const json_location& location,
                    std::int32_t& into)
{
    const std::optional<std::int64_t> value = parse_integer(from);
    if (!value || *value < std::numeric_limits<std::int32_t>::min() ||
        *value > std::numeric_limits<std::int32_t>::max())
    {
        return unexpected_value(location, "expected a 32-bit integer");
    }
    into = static_cast<std::int32_t>(*value);
    return success();
}

status decode_value(const json& from, const json_location& location,
                    std::int64_t& into)
{
    const std::optional<std::int64_t> value = parse_integer(from);
    if (!value)
    {
        return unexpected_value(location, "expected a 64-bit integer");
    }
    into = *value;
    return success();
}

status decode_value(const json& from, const json_location& location,
                    double& into)
{
    if (!from.is_number())
    {
        return unexpected_value(location, "expected a number");
    }
    into = from.get<double>();
    return success();
}

status decode_value(const json& from, const json_location& location,
                    std::string& into)
{
    if (!from.is_string())
    {
        return unexpected_value(location, "expected a string");
    }
    into = from.get<std::string>();
    return success();
}

status decode_value(const json& from, const json_location& location,
                    std::chrono::milliseconds& into)
{
    return decode_duration(from, location, into);
}

status decode_value(const json& from, const json_location& location,
                    std::chrono::seconds& into)
{
    return decode_duration(from, location, into);
}

status decode_value(const json& from, const json_location& location,
                    std::chrono::system_clock::time_point& into)
{
    std::optional<std::chrono::system_clock::time_point> parsed;
    if (from.is_string())
    {
        parsed = parse_utc_time(from.get_ref<const std::string&>());
    }
    if (!parsed)
    {
        return unexpected_value(
            location, "expected a UTC time such as 2026-12-04T17:00:00Z");
    }
    into = *parsed;
    return success();
}

status decode_value(const json& from, const json_location& location,
                    domain::route_kind& into)
{
    constexpr std::array values = {domain::route_kind::engine,
                                   domain::route_kind::service};
    return decode_enum(from, location, values, into);
}

status decode_value(const json& from, const json_location& location,
                    domain::upstream_state& into)
{
    constexpr std::array values = {domain::upstream_state::serving,
                                   domain::upstream_state::leaving};
    return decode_enum(from, location, values, into);
}

} // namespace turmeric::codecs
