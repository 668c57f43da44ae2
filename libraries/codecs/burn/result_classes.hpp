#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// What a request's result says about the service.
enum class result_class : std::uint8_t
{
    good,
    /// The system failed (5xx) or refused for load (429).
    bad,
    /// Refused for the caller's own fault; no event of the service.
    caller_error,
};

/// Returns the class of a `code` label; unknown names are bad. Thread safe.
[[nodiscard]] result_class result_class_of(std::string_view code);

/// Returns the `code` labels that are the caller's fault. Thread safe.
[[nodiscard]] std::vector<std::string> caller_error_codes();

} // namespace turmeric::codecs
