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

/// The most bytes of parts in one answer, beyond the first part.
inline constexpr std::size_t max_response_parts_bytes =
    std::size_t{1024} * 1024;

/// What a process asks a peer for.
struct configuration_request
{
    /// The version that it has in force.
    std::int64_t version = 0;
    /// Digests of parts that it lacks for a newer one.
    std::vector<std::string> wanted_parts;
};

/// What a peer answers.
struct configuration_response
{
    /// Set when the peer has a higher version in force.
    std::optional<domain::configuration_head> head;
    /// Texts of parts, as many as fit.
    std::vector<std::string> parts;
};

/// Writes a request. Thread safe.
[[nodiscard]] std::string
encode_configuration_request(const configuration_request& request);

/// Reads a request. Errors: `peer_protocol`. Thread safe.
result<configuration_request>
decode_configuration_request(std::string_view text);

/// Writes an answer. Thread safe.
[[nodiscard]] std::string
encode_configuration_response(const configuration_response& response);

/// Reads an answer. Errors: `peer_protocol`. Thread safe.
result<configuration_response>
decode_configuration_response(std::string_view text);

/// Answers a request from the parts in force: the wanted ones, or all when
/// the peer is older and names none. Thread safe.
[[nodiscard]] configuration_response
make_configuration_response(const configuration_request& request,
                            const domain::configuration_head& head,
                            const domain::part_texts& parts);

} // namespace turmeric::codecs
