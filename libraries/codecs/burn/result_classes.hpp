#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// How a request's result counts towards the availability objective.
enum class result_class : std::uint8_t
{
    good,
    /// The service failed (5xx) or rejected the request because of load (429).
    bad,
    /// Rejected because of an error in the request or by its caller; does not
    /// count as an event.
    caller_error,
};

/// Returns the class of a `code` label; unknown codes are `bad`. Thread safe.
[[nodiscard]] result_class result_class_of(std::string_view code);

/// Returns the `code` labels whose class is `caller_error`. Thread safe.
[[nodiscard]] std::vector<std::string> caller_error_codes();

} // namespace turmeric::codecs
