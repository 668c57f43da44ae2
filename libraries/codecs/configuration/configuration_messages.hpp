#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/configuration_head.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// The maximum bytes of all parts in one response. A first part that is larger
/// is sent alone, so that it can be transferred at all.
inline constexpr std::size_t max_response_parts_bytes =
    std::size_t{1024} * 1024;

/// A process's request to a peer for a newer configuration.
struct configuration_request
{
    /// The version that the requesting process has in force.
    std::int64_t version = 0;
    /// The digests of the parts of a newer version that the process lacks.
    std::vector<std::string> wanted_parts;
};

/// A peer's response to a configuration request.
struct configuration_response
{
    /// Set when the peer has a higher version in force.
    std::optional<domain::configuration_head> head;
    /// The encoded texts of requested parts, as many as fit into
    /// `max_response_parts_bytes`.
    std::vector<std::string> parts;
};

/// Encodes a request as JSON. Thread safe.
[[nodiscard]] std::string
encode_configuration_request(const configuration_request& request);

/// Decodes a request. Errors: `peer_protocol`. Thread safe.
result<configuration_request>
decode_configuration_request(std::string_view text);

/// Encodes a response as JSON. Thread safe.
[[nodiscard]] std::string
encode_configuration_response(const configuration_response& response);

/// Decodes a response. Errors: `peer_protocol`. Thread safe.
result<configuration_response>
decode_configuration_response(std::string_view text);

/// Makes the response to a request from the head and the parts in force. It has
/// the parts that the request names; if it names none and its version is older,
/// all parts of the head. Parts that are not in force here are left out.
/// Thread safe.
[[nodiscard]] configuration_response
make_configuration_response(const configuration_request& request,
                            const domain::configuration_head& head,
                            const domain::part_texts& parts);

} // namespace turmeric::codecs
