#pragma once

#include <cstdint>
#include <string_view>

namespace turmeric::ports
{

/// What made a response no valid or no complete one, for logs. What is valid is
/// defined by RFC 9110 and RFC 9112.
enum class response_defect : std::uint8_t
{
    /// Nothing is known to be wrong with the response.
    none,
    /// The status is no number from 100 to 599.
    invalid_status,
    /// The name of a field has a byte that no name can have, or is empty.
    invalid_field_name,
    /// Other bytes of the head, of the framing of the body or of a trailer are
    /// not those of the protocol.
    invalid_syntax,
    /// The head, a chunk's header or the trailers are longer than this process
    /// accepts.
    too_long,
    /// There were more interim responses, or responses to other requests, than
    /// a call allows, or the upstream switched to another protocol.
    unexpected_responses,
    /// The connection was closed before the response was complete.
    truncated,
    /// The connection was reset before the response was complete.
    reset,
    /// The upstream's VM acknowledged nothing for too long.
    unacknowledged,
};

/// Returns the defect's name, as logs have it. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(response_defect value)
{
    switch (value)
    {
    case response_defect::none:
        return "none";
    case response_defect::invalid_status:
        return "invalid_status";
    case response_defect::invalid_field_name:
        return "invalid_field_name";
    case response_defect::invalid_syntax:
        return "invalid_syntax";
    case response_defect::too_long:
        return "too_long";
    case response_defect::unexpected_responses:
        return "unexpected_responses";
    case response_defect::truncated:
        return "truncated";
    case response_defect::reset:
        return "reset";
    case response_defect::unacknowledged:
        return "unacknowledged";
    }
    return "unknown";
}

} // namespace turmeric::ports
