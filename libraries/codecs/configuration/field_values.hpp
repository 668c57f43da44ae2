#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::codecs
{

/// Where in a document a value stands; names the fault. A value type.
struct json_location
{
    result_code code = result_code::configuration_invalid;
    std::string path;
};

/// Returns the error for a value that is not what `expectation` says.
/// Thread safe.
[[nodiscard]] error unexpected_value(const json_location& location,
                                     const std::string& expectation);

/// Writes a member's value. All thread safe.
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

/// Reads a member's value into `into`. Errors: `place.code` with the path.
/// Integers may stand as decimal strings, as protobuf's JSON form has them.
/// All thread safe.
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
