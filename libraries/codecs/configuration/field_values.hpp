#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::codecs
{

/// The location of a value in a JSON document, for errors.
struct json_location
{
    /// The code of errors in this document.
    result_code code = result_code::configuration_invalid;
    /// The path of the value, such as `routes[0].name`.
    std::string path;
};

/// Returns the error for a missing, unknown or invalid value; `expectation`
/// says what is expected. Thread safe.
[[nodiscard]] error unexpected_value(const json_location& location,
                                     const std::string& expectation);

/// Encode the value of a field. Thread safe.
[[nodiscard]] json encode_value(bool value);
[[nodiscard]] json encode_value(std::int32_t value);
[[nodiscard]] json encode_value(std::int64_t value);
[[nodiscard]] json encode_value(double value);
[[nodiscard]] json encode_value(const std::string& value);
[[nodiscard]] json encode_value(std::chrono::milliseconds value);
[[nodiscard]] json encode_value(std::chrono::seconds value);
[[nodiscard]] json encode_value(std::chrono::system_clock::time_point value);
[[nodiscard]] json encode_value(domain::route_kind value);
[[nodiscard]] json encode_value(domain::upstream_state value);

/// Decode the value of a field into `into`. An integer may also be a decimal
/// string: the JSON form of protobuf writes 64-bit integers as strings.
/// Errors: `location.code` with `location.path`. Thread safe.
status decode_value(const json& from, const json_location& location,
                    bool& into);
status decode_value(const json& from, const json_location& location,
                    std::int32_t& into);
status decode_value(const json& from, const json_location& location,
                    std::int64_t& into);
status decode_value(const json& from, const json_location& location,
                    double& into);
status decode_value(const json& from, const json_location& location,
                    std::string& into);
status decode_value(const json& from, const json_location& location,
                    std::chrono::milliseconds& into);
status decode_value(const json& from, const json_location& location,
                    std::chrono::seconds& into);
status decode_value(const json& from, const json_location& location,
                    std::chrono::system_clock::time_point& into);
status decode_value(const json& from, const json_location& location,
                    domain::route_kind& into);
status decode_value(const json& from, const json_location& location,
                    domain::upstream_state& into);

} // namespace turmeric::codecs
